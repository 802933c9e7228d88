"""Converts between messages of the operators' API and internal types."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinshift.api.generated import operators_pb2 as pb
from siskinshift.configuration.exceptions import InvalidChangeError
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode


if TYPE_CHECKING:
    from siskinshift.configuration.store import AcceptedChange


DEFAULT_IMPORTANCE = 100

_MODES_BY_NUMBER = {
    pb.SERVICE_MODE_DATAGRAM: ServiceMode.DATAGRAM,
    pb.SERVICE_MODE_REQUEST: ServiceMode.REQUEST,
}
_NUMBERS_BY_MODE = {mode: number for number, mode in _MODES_BY_NUMBER.items()}


def service_from_request(message: Any) -> Service:
    """Converts a service in a request; the change validates the values later.

    Args:
        message: A pb.Service.

    Returns:
        The service without the fields that the server sets.

    Raises:
        InvalidChangeError: The mode is unknown.
    """
    mode = _MODES_BY_NUMBER.get(message.mode)
    if mode is None:
        raise InvalidChangeError("mode: allowed are datagram and request")
    return Service(
        service_id=message.service_id,
        addresses=tuple(_endpoint_from_message(a) for a in message.addresses),
        mode=mode,
        upstream_class=message.upstream_class,
        groups=tuple(group_from_message(group) for group in message.groups),
        importance=message.importance or DEFAULT_IMPORTANCE,
        placement=tuple(message.placement),
    )


def group_from_message(message: Any) -> Group:
    """Converts a group; the change validates the values later.

    Args:
        message: A pb.Group.

    Returns:
        The group.
    """
    return Group(
        group_id=message.group_id,
        share=message.share,
        credential_sha256=message.credential_sha256,
    )


def service_from_reply(message: Any) -> Service:
    """Converts a service that a server sent.

    Args:
        message: A pb.Service.

    Returns:
        The service with the fields that the server sets.
    """
    return Service(
        service_id=message.service_id,
        addresses=tuple(_endpoint_from_message(a) for a in message.addresses),
        # A newer server may send modes that this client does not have. The client only
        # displays such a mode, and falls back to datagram.
        mode=_MODES_BY_NUMBER.get(message.mode, ServiceMode.DATAGRAM),
        upstream_class=message.upstream_class,
        groups=tuple(group_from_message(group) for group in message.groups),
        importance=message.importance,
        placement=tuple(message.placement),
        drained=tuple(message.drained),
        evacuated=tuple(message.evacuated),
        revision=message.revision,
        change_id=message.change_id,
    )


def service_to_message(service: Service) -> Any:
    """Converts a service to its message.

    Args:
        service: The service; for a tombstone only id, revision and change id are set.

    Returns:
        A pb.Service.
    """
    if service.deleted:
        return pb.Service(
            service_id=service.service_id,
            revision=service.revision,
            change_id=service.change_id,
        )
    return pb.Service(
        service_id=service.service_id,
        addresses=[_endpoint_to_message(address) for address in service.addresses],
        mode=_NUMBERS_BY_MODE[service.mode],
        upstream_class=service.upstream_class,
        groups=[group_to_message(group) for group in service.groups],
        importance=service.importance,
        placement=service.placement,
        drained=service.drained,
        evacuated=service.evacuated,
        revision=service.revision,
        change_id=service.change_id,
    )


def group_to_message(group: Group) -> Any:
    """Converts a group to its message.

    Args:
        group: The group.

    Returns:
        A pb.Group.
    """
    return pb.Group(
        group_id=group.group_id,
        share=group.share,
        credential_sha256=group.credential_sha256,
    )


def accepted_change_to_message(accepted: AcceptedChange) -> Any:
    """Converts an accepted change to the reply.

    Args:
        accepted: The accepted change.

    Returns:
        A pb.ChangeReply.
    """
    service = accepted.service
    return pb.ChangeReply(
        change_id=accepted.change_id,
        service_id=accepted.service_id,
        revision=accepted.revision,
        service=service_to_message(service) if service is not None else None,
    )


def member_to_message(member: Member) -> Any:
    """Converts a member to its message.

    Args:
        member: The member.

    Returns:
        A pb.Node.
    """
    return pb.Node(
        member_id=member.member_id,
        role=member.role.value,
        state=member.state.value,
        region=member.region,
        failure_domain=member.failure_domain,
        upstream_class=member.upstream_class,
        weight=member.weight,
        slots=member.slots,
        incarnation=member.incarnation,
        version=member.version,
        control=_endpoint_to_message(member.control),
        data=_endpoint_to_message(member.data),
        entry_slot=member.entry_slot,
    )


def member_from_message(message: Any) -> Member:
    """Converts the message of a node.

    Args:
        message: A pb.Node.

    Returns:
        The member.
    """
    return Member(
        member_id=message.member_id,
        role=Role(message.role),
        incarnation=message.incarnation,
        version=message.version,
        state=MemberState(message.state),
        region=message.region,
        failure_domain=message.failure_domain,
        control=_endpoint_from_message(message.control),
        data=_endpoint_from_message(message.data),
        upstream_class=message.upstream_class,
        weight=message.weight,
        slots=message.slots,
        entry_slot=message.entry_slot,
    )


def _endpoint_from_message(message: Any) -> Endpoint:
    return Endpoint(host=message.host, port=message.port)


def _endpoint_to_message(endpoint: Endpoint) -> Any:
    return pb.Endpoint(host=endpoint.host, port=endpoint.port)
