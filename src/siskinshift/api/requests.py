"""Registry: which change each request of the operators' API asks for."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

from siskinshift.api.conversion import group_from
from siskinshift.api.conversion import service_from
from siskinshift.api.generated import operators_pb2 as pb
from siskinshift.configuration.changes import CreateService
from siskinshift.configuration.changes import DeleteGroup
from siskinshift.configuration.changes import DeleteService
from siskinshift.configuration.changes import PutGroup
from siskinshift.configuration.changes import ReplaceService
from siskinshift.configuration.changes import SetDrain
from siskinshift.configuration.changes import SetEvacuation
from siskinshift.configuration.changes import SetShare


if TYPE_CHECKING:
    from siskinshift.configuration.changes import Change


Reader: TypeAlias = Callable[[Any], "Change"]

_readers_by_type: dict[type, Reader] = {}


def change_from(request: Any) -> Change:
    """Reads the change that a request asks for.

    Args:
        request: A request message.

    Returns:
        The change.

    Raises:
        InvalidChangeError: A value can't be read.
    """
    return _readers_by_type[type(request)](request)


def _reads(request_type: Any) -> Callable[[Reader], Reader]:
    def register(reader: Reader) -> Reader:
        _readers_by_type[request_type] = reader
        return reader

    return register


@_reads(pb.CreateServiceRequest)
def _create(request: Any) -> Change:
    return CreateService(service_from(request.service))


@_reads(pb.ReplaceServiceRequest)
def _replace(request: Any) -> Change:
    return ReplaceService(service_from(request.service), request.revision)


@_reads(pb.DeleteServiceRequest)
def _delete(request: Any) -> Change:
    return DeleteService(request.service_id, request.revision)


@_reads(pb.PutGroupRequest)
def _put_group(request: Any) -> Change:
    group = group_from(request.group)
    return PutGroup(request.service_id, group, request.revision)


@_reads(pb.DeleteGroupRequest)
def _delete_group(request: Any) -> Change:
    return DeleteGroup(request.service_id, request.group_id, request.revision)


@_reads(pb.SetShareRequest)
def _set_share(request: Any) -> Change:
    return SetShare(
        request.service_id, request.group_id, request.share, request.revision
    )


@_reads(pb.SetDrainRequest)
def _set_drain(request: Any) -> Change:
    return SetDrain(
        request.service_id, request.member_id, request.drained, request.revision
    )


@_reads(pb.SetEvacuationRequest)
def _set_evacuation(request: Any) -> Change:
    return SetEvacuation(
        request.service_id, request.failure_domain, request.evacuated, request.revision
    )
