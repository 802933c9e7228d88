"""Converts requests of the operators' API to changes.

A registry maps each request type to the function that converts it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

from siskinshift.api.conversion import group_from_message
from siskinshift.api.conversion import service_from_request
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


ChangeReader: TypeAlias = Callable[[Any], "Change"]

_readers_by_request_type: dict[type, ChangeReader] = {}


def change_from_request(request: Any) -> Change:
    """Converts a request to the change that it requests.

    Args:
        request: Request message of a call that makes a change.

    Returns:
        The change.

    Raises:
        InvalidChangeError: A value of the request can't be converted.
    """
    return _readers_by_request_type[type(request)](request)


def _register_reader(request_type: Any) -> Callable[[ChangeReader], ChangeReader]:
    def register(reader: ChangeReader) -> ChangeReader:
        _readers_by_request_type[request_type] = reader
        return reader

    return register


@_register_reader(pb.CreateServiceRequest)
def _create(request: Any) -> Change:
    return CreateService(service_from_request(request.service))


@_register_reader(pb.ReplaceServiceRequest)
def _replace(request: Any) -> Change:
    return ReplaceService(service_from_request(request.service), request.revision)


@_register_reader(pb.DeleteServiceRequest)
def _delete(request: Any) -> Change:
    return DeleteService(request.service_id, request.revision)


@_register_reader(pb.PutGroupRequest)
def _put_group(request: Any) -> Change:
    group = group_from_message(request.group)
    return PutGroup(request.service_id, group, request.revision)


@_register_reader(pb.DeleteGroupRequest)
def _delete_group(request: Any) -> Change:
    return DeleteGroup(request.service_id, request.group_id, request.revision)


@_register_reader(pb.SetShareRequest)
def _set_share(request: Any) -> Change:
    return SetShare(
        request.service_id, request.group_id, request.share, request.revision
    )


@_register_reader(pb.SetDrainRequest)
def _set_drain(request: Any) -> Change:
    return SetDrain(
        request.service_id, request.member_id, request.drained, request.revision
    )


@_register_reader(pb.SetEvacuationRequest)
def _set_evacuation(request: Any) -> Change:
    return SetEvacuation(
        request.service_id, request.failure_domain, request.evacuated, request.revision
    )
