"""Property test: any request is accepted or rejected with an expected error kind.

A rejected request writes nothing, and every stored service remains valid.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from siskinshift.api.generated import operators_pb2 as pb
from siskinshift.api.protocol import AUTHORIZATION_KEY
from siskinshift.api.protocol import ERROR_KIND_KEY
from siskinshift.api.service import OperatorsService
from siskinshift.configuration.table import ServiceTable
from siskinshift.core.errors import ErrorKind
from siskinshift.membership.view_holder import ViewHolder
from tests.configuration.simulation import written_services
from tests.configuration.test_store import StoreScenario
from tests.kv.fakes import make_settings


if TYPE_CHECKING:
    from siskinshift.messages.core import Service


SETTINGS = make_settings("[api]\noperator_tokens = operator-token-0001\n")
EXPECTED_KINDS = {
    ErrorKind.INVALID_ARGUMENT,
    ErrorKind.NOT_FOUND,
    ErrorKind.ALREADY_EXISTS,
    ErrorKind.REVISION_CONFLICT,
    ErrorKind.TOO_LARGE,
}
METHODS: dict[str, Any] = {
    "CreateService": pb.CreateServiceRequest,
    "ReplaceService": pb.ReplaceServiceRequest,
    "DeleteService": pb.DeleteServiceRequest,
    "PutGroup": pb.PutGroupRequest,
    "DeleteGroup": pb.DeleteGroupRequest,
    "SetShare": pb.SetShareRequest,
    "SetDrain": pb.SetDrainRequest,
    "SetEvacuation": pb.SetEvacuationRequest,
    "FindChange": pb.FindChangeRequest,
    "ListServices": pb.ListServicesRequest,
    "GetStatus": pb.GetStatusRequest,
}


class Aborted(Exception):
    """Raised by `abort`, as in gRPC, to leave the handler."""


class FakeContext:
    """Fake of the gRPC context of one call; stores the error kind of the reply."""

    def __init__(self) -> None:
        self.kind: ErrorKind | None = None

    def invocation_metadata(self) -> tuple[tuple[str, str], ...]:
        return ((AUTHORIZATION_KEY, "Bearer operator-token-0001"),)

    def set_trailing_metadata(self, metadata: list[tuple[str, str]]) -> None:
        self.kind = ErrorKind(dict(metadata)[ERROR_KIND_KEY])

    def abort(self, _code: object, _details: str) -> None:
        raise Aborted


class FakeMembership:
    """Fake membership that stores services and publishes no view."""

    def __init__(self) -> None:
        self.views = ViewHolder()
        self.services = ServiceTable()

    def publish_merged_services(self) -> None:
        return


_names = st.one_of(
    st.sampled_from(["editor", "plans", "volunteers", "", "no name"]),
    st.text(max_size=9),
)
_numbers = st.one_of(st.integers(-2, 9), st.integers(-(1 << 63), (1 << 63) - 1))
_hosts = st.one_of(st.sampled_from(["10.0.0.1", "::1", "0.0.0.0"]), st.text(max_size=5))
_endpoints = st.builds(
    pb.Endpoint, host=_hosts, port=st.sampled_from([0, 1, 2, 65535, 65536, 4294967295])
)
_groups = st.builds(
    pb.Group, group_id=_names, share=_numbers, credential_sha256=st.text(max_size=3)
)
_services = st.builds(
    pb.Service,
    service_id=_names,
    addresses=st.lists(_endpoints, max_size=2),
    mode=st.integers(0, 3),
    upstream_class=_names,
    groups=st.lists(_groups, max_size=2),
    importance=_numbers,
    placement=st.lists(_names, max_size=2),
    revision=_numbers,
)
_FIELDS = {
    "change_id": st.one_of(
        st.uuids().map(str), st.sampled_from(["change-0001", "", "x"])
    ),
    "service": _services,
    "service_id": _names,
    "group": _groups,
    "group_id": _names,
    "member_id": _names,
    "drained": st.booleans(),
    "failure_domain": _names,
    "evacuated": st.booleans(),
    "share": _numbers,
    "revision": _numbers,
}


@st.composite
def _calls(draw: st.DrawFn) -> tuple[str, Any]:
    name = draw(st.sampled_from(sorted(METHODS)))
    request_type = METHODS[name]
    fields = [field.name for field in request_type.DESCRIPTOR.fields]
    return name, request_type(**{field: draw(_FIELDS[field]) for field in fields})


def test_the_drawn_requests_cover_all_methods_with_one_reply() -> None:
    """Guards against a new method that no random request reaches."""
    (described,) = pb.DESCRIPTOR.services_by_name.values()

    unary = {m.name for m in described.methods if not m.server_streaming}

    assert set(METHODS) == unary


@hypothesis_settings(max_examples=150)
@given(calls=st.lists(_calls(), max_size=6))
def test_any_request_gets_an_answer_of_a_known_kind(
    calls: list[tuple[str, Any]],
) -> None:
    world = StoreScenario()
    membership = FakeMembership()
    service = OperatorsService(
        settings=SETTINGS,
        store=world.first.store,
        membership=membership,  # type: ignore[arg-type]
        store_available=lambda: True,
    )
    for name, request in calls:
        context = FakeContext()
        writes = len(world.state.writes())
        try:
            getattr(service, name)(request, context)
        except Aborted:
            assert context.kind in EXPECTED_KINDS
            assert len(world.state.writes()) == writes, "refused, yet it wrote"

    records: list[Service] = written_services(world.state)
    assert all(record.addresses or record.deleted for record in records)
    assert all(group.share > 0 for record in records for group in record.groups)
