"""A member's record as a JSON object, in the store and between nodes."""

from __future__ import annotations

import socket
from enum import StrEnum
from typing import Any
from typing import TypeVar

from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_string
from siskinshift.control.exceptions import BadMessageError
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role


PORT_MAXIMUM = 65535
# Incarnation, version and configuration travel in packed messages of this width.
INCARNATION_MAXIMUM = (1 << 53) - 1
VERSION_MAXIMUM = (1 << 32) - 1
# No upstream runs more requests at once; the choice among agents divides by this. A
# heartbeat with more is refused too, or peers would refuse the agent's record.
SLOTS_MAXIMUM = 10_000
WEIGHT_MAXIMUM = 1_000_000

ChoiceT = TypeVar("ChoiceT", bound=StrEnum)


def member_document(member: Member) -> dict[str, str | int]:
    """Turns a member's record into a JSON object, for peers and for the store.

    Args:
        member: The record.

    Returns:
        The object.
    """
    return {
        "member_id": member.member_id,
        "role": member.role.value,
        "incarnation": member.incarnation,
        "version": member.version,
        "state": member.state.value,
        "region": member.region,
        "failure_domain": member.failure_domain,
        "host": member.data.host,
        "port": member.data.port,
        "upstream_class": member.upstream_class,
        "weight": member.weight,
        "slots": member.slots,
    }


def member_from_document(document: dict[str, Any]) -> Member:
    """Reads a member's record.

    Guards against records of other writers. A port of 99999 raised in each send to
    it, which ended the turn of all timers of the node once a second; no slots raised
    in each choice among the service's agents; a host that is a name would have been
    looked up on the thread that forwards packets.

    Args:
        document: A JSON object of `member_document`.

    Returns:
        The record; messages and datagrams go to one port number.

    Raises:
        BadMessageError: A field is missing, of another type or out of range.
    """
    port = get_integer(document, "port", minimum=1, maximum=PORT_MAXIMUM)
    endpoint = Endpoint(_host_of(document), port)
    return Member(
        member_id=get_string(document, "member_id"),
        role=_choice_of(document, "role", Role),
        incarnation=get_integer(document, "incarnation", maximum=INCARNATION_MAXIMUM),
        version=get_integer(document, "version", maximum=VERSION_MAXIMUM),
        state=_choice_of(document, "state", MemberState),
        region=get_string(document, "region", allow_empty=True),
        failure_domain=get_string(document, "failure_domain", allow_empty=True),
        control=endpoint,
        data=endpoint,
        upstream_class=get_string(document, "upstream_class", allow_empty=True),
        weight=get_integer(document, "weight", maximum=WEIGHT_MAXIMUM),
        slots=get_integer(document, "slots", minimum=1, maximum=SLOTS_MAXIMUM),
    )


def _host_of(document: dict[str, Any]) -> str:
    host = get_string(document, "host")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise BadMessageError(f"host: {host!r}; allowed: an IP number") from error
    return host


def _choice_of(document: dict[str, Any], name: str, choices: type[ChoiceT]) -> ChoiceT:
    value = get_string(document, name)
    try:
        return choices(value)
    except ValueError as error:
        raise BadMessageError(f"{name}: {value!r} is not known") from error
