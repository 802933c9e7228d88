"""Encodes a member's record as a JSON object for the store and for peers."""

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


MAX_PORT = 65535
# Incarnation, version and configuration version are sent in binary fields of this
# width.
MAX_INCARNATION = (1 << 53) - 1
MAX_VERSION = (1 << 32) - 1
# A status with the longest name fits into a datagram.
MAX_SERVICE_ID_LENGTH = 8192
# No upstream runs more requests at once, and the choice among agents divides by the
# slots. Heartbeats with more are refused too, since peers would refuse the agent's
# record.
MAX_SLOTS = 10_000
MAX_WEIGHT = 1_000_000

ChoiceT = TypeVar("ChoiceT", bound=StrEnum)


def member_document(member: Member) -> dict[str, str | int]:
    """Encodes a member's record for peers and for the store.

    Args:
        member: The record.

    Returns:
        A JSON object.
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
    """Decodes a member's record.

    Checks all fields, since foreign writers may write records. A port of 99999 raised
    an error in each send to it, which aborted all timers of the node once a second. A
    record without slots raised an error in each choice among the service's agents. A
    host name would be resolved on the thread that forwards packets.

    Args:
        document: A JSON object of `member_document`.

    Returns:
        The record; control messages and datagrams use the same port number.

    Raises:
        BadMessageError: A field is missing, of another type or out of range.
    """
    port = get_integer(document, "port", minimum=1, maximum=MAX_PORT)
    endpoint = Endpoint(_host_of(document), port)
    return Member(
        member_id=get_string(document, "member_id"),
        role=_choice_of(document, "role", Role),
        incarnation=get_integer(document, "incarnation", maximum=MAX_INCARNATION),
        version=get_integer(document, "version", maximum=MAX_VERSION),
        state=_choice_of(document, "state", MemberState),
        region=get_string(document, "region", allow_empty=True),
        failure_domain=get_string(document, "failure_domain", allow_empty=True),
        control=endpoint,
        data=endpoint,
        upstream_class=get_string(
            document,
            "upstream_class",
            allow_empty=True,
            max_length=MAX_SERVICE_ID_LENGTH,
        ),
        weight=get_integer(document, "weight", maximum=MAX_WEIGHT),
        slots=get_integer(document, "slots", minimum=1, maximum=MAX_SLOTS),
    )


def _host_of(document: dict[str, Any]) -> str:
    host = get_string(document, "host")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise BadMessageError(f"host: {host!r}; allowed: an IPv4 address") from error
    return host


def _choice_of(document: dict[str, Any], name: str, choices: type[ChoiceT]) -> ChoiceT:
    value = get_string(document, name)
    try:
        return choices(value)
    except ValueError as error:
        raise BadMessageError(f"{name}: unknown value {value!r}") from error
