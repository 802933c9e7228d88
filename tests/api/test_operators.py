"""Tests of the operators' API over TLS, from the client to the key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.api.exceptions import OperatorsCallError
from siskinshift.api.server import OperatorsServer
from siskinshift.core.errors import ErrorKind
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Role
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.settings.exceptions import SettingsError
from tests.api.deployment import VIEWER_TOKEN
from tests.api.deployment import ApiDeployment
from tests.kv.fakes import make_settings


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from pathlib import Path

    from siskinshift.api.client import OperatorsClient


EDITOR = Service(
    service_id="editor",
    addresses=(Endpoint("10.0.0.1", 443),),
    mode=ServiceMode.REQUEST,
    upstream_class="editor",
    groups=(Group("volunteers", 3), Group("treasurers", 1)),
)
PLANS = attrs.evolve(EDITOR, service_id="plans", addresses=(Endpoint("10.0.0.2", 1),))


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[ApiDeployment]:
    deployment = ApiDeployment(tmp_path)
    yield deployment
    deployment.stop()


@pytest.fixture
def client(deployment: ApiDeployment) -> Iterator[OperatorsClient]:
    client = deployment.client()
    yield client
    client.close()


def _error_kind(call: Callable[[], object]) -> ErrorKind:
    with pytest.raises(OperatorsCallError) as caught:
        call()
    return caught.value.kind


def test_each_kind_of_change_takes_effect(client: OperatorsClient) -> None:
    created = client.create_service(EDITOR)
    share = client.set_share("editor", "volunteers", 5, revision=created.revision)
    client.put_group("editor", Group("auditors", 2))
    client.delete_group("editor", "treasurers")
    drained = client.set_drain("editor", "editor-3", drained=True)
    evacuated = client.set_evacuation("editor", "domain-a", evacuated=True)
    (listed,) = client.list_services()
    client.replace_service(
        attrs.evolve(EDITOR, importance=200), revision=evacuated.revision
    )

    assert listed.groups == (Group("volunteers", 5), Group("auditors", 2))
    assert listed.drained == ("editor-3",)
    assert listed.evacuated == ("domain-a",)
    assert (
        listed.revision
        == evacuated.revision
        > drained.revision
        > share.revision
        > created.revision
    )
    (listed,) = client.list_services("editor")
    assert (listed.importance, listed.drained) == (200, ("editor-3",))
    assert listed.evacuated == ("domain-a",)
    client.set_evacuation("editor", "domain-a", evacuated=False)
    (listed,) = client.list_services("editor")
    assert listed.evacuated == ()
    client.delete_service("editor", revision=listed.revision)
    assert client.list_services() == []


def test_invalid_changes_are_rejected_by_kind_and_change_nothing(
    client: OperatorsClient,
) -> None:
    revision = client.create_service(EDITOR).revision
    client.create_service(PLANS)
    before = client.list_services()
    groups = tuple(Group(f"group-{number}", 1) for number in range(3000))
    conflicting = attrs.evolve(PLANS, addresses=EDITOR.addresses, service_id="other")
    kinds = [
        _error_kind(lambda: client.create_service(EDITOR)),
        _error_kind(lambda: client.create_service(conflicting)),
        _error_kind(lambda: client.set_share("nobody", "volunteers", 1)),
        _error_kind(lambda: client.set_share("editor", "volunteers", 0)),
        _error_kind(lambda: client.set_share("editor", "volunteers", -1)),
        _error_kind(lambda: client.set_share("editor", "volunteers", 1 << 70)),
        _error_kind(lambda: client.replace_service(EDITOR, revision=revision - 1)),
        _error_kind(lambda: client.replace_service(EDITOR, revision=0)),
        _error_kind(
            lambda: client.replace_service(
                attrs.evolve(EDITOR, groups=groups), revision=revision
            )
        ),
        _error_kind(lambda: client.set_drain("editor", "no such member", drained=True)),
    ]

    assert [kind.value for kind in kinds] == [
        "already_exists",
        "already_exists",
        "not_found",
        "invalid_argument",
        "invalid_argument",
        "invalid_argument",
        "revision_conflict",
        "invalid_argument",
        "too_large",
        "invalid_argument",
    ]
    assert client.list_services() == before


def test_a_revision_conflict_reports_the_current_revision(
    client: OperatorsClient,
) -> None:
    first = client.create_service(EDITOR).revision
    second = client.set_share("editor", "volunteers", 5).revision

    with pytest.raises(OperatorsCallError) as caught:
        client.delete_service("editor", revision=first)

    assert caught.value.current_revision == second


def test_calls_require_a_token_with_the_permission(deployment: ApiDeployment) -> None:
    viewer = deployment.client(VIEWER_TOKEN)
    unauthenticated = deployment.client("a-token-nobody-knows")

    assert _error_kind(lambda: viewer.create_service(EDITOR)) is ErrorKind.FORBIDDEN
    assert _error_kind(unauthenticated.list_services) is ErrorKind.UNAUTHENTICATED
    assert (
        _error_kind(lambda: next(unauthenticated.watch_services()))
        is ErrorKind.UNAUTHENTICATED
    )
    assert viewer.list_services() == []
    viewer.close()
    unauthenticated.close()


def test_the_status_reports_nodes_and_store_availability(
    deployment: ApiDeployment, client: OperatorsClient
) -> None:
    revision = client.create_service(EDITOR).revision

    status = client.get_status()

    assert status.member_id == "node-1"
    assert status.configuration_revision == revision
    assert (status.services, status.store_available) == (1, True)
    assert [member.role for member in status.members] == [Role.BALANCER]
    deployment.kv.available = False
    assert (
        _error_kind(lambda: client.create_service(PLANS)) is ErrorKind.STORE_UNAVAILABLE
    )
    assert client.get_status().store_available is False
    assert len(client.list_services()) == 1


def test_a_watch_sends_what_is_there_and_each_change(client: OperatorsClient) -> None:
    created = client.create_service(EDITOR)
    updates = client.watch_services()

    assert next(updates).service == created.service
    changed = client.set_share("editor", "volunteers", 9)
    assert next(updates).service == changed.service
    client.delete_service("editor", revision=changed.revision)
    last = next(updates)
    assert (last.deleted, last.service.service_id) == (True, "editor")
    updates.close()  # type: ignore[attr-defined]


def test_a_change_whose_store_response_is_lost_is_reported_as_accepted(
    deployment: ApiDeployment, client: OperatorsClient
) -> None:
    """A change that is in force must not be reported as rejected.

    The store writes the record, but its response is lost. The balancer finds the id
    of the change in the root record and replies with the revision.
    """
    deployment.kv.faults.lose_write_responses = 1
    created = client.create_service(EDITOR, change_id="change-0001")

    found = client.find_change("change-0001")

    assert found is not None
    assert (found.service_id, found.revision) == ("editor", created.revision)
    assert client.create_service(EDITOR, change_id="change-0001") == created
    assert client.find_change("change-0002") is None


def test_an_unreachable_balancer_is_not_an_unknown_outcome(
    deployment: ApiDeployment,
) -> None:
    client = deployment.client()
    deployment.balancer.stop()

    assert (
        _error_kind(lambda: client.create_service(EDITOR)) is ErrorKind.PEER_UNREACHABLE
    )
    client.close()


@pytest.mark.parametrize("missing", ["certificate_file", "operator_tokens"])
def test_the_server_requires_certificate_and_tokens(missing: str) -> None:
    lines = {
        "certificate_file": "/nowhere/certificate.pem",
        "private_key_file": "/nowhere/key.pem",
        "operator_tokens": "operator-token-0001",
    }
    del lines[missing]
    text = "\n".join(f"{key} = {value}" for key, value in lines.items())
    settings = make_settings(f"[api]\nendpoints = 127.0.0.1:0\n{text}\n")

    with pytest.raises(SettingsError):
        OperatorsServer(settings.api, None)  # type: ignore[arg-type]
