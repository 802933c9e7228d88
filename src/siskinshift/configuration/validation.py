"""Checks of what operators ask for, before anything is written."""

from __future__ import annotations

import ipaddress
import re
from typing import TYPE_CHECKING

import attrs

from siskinshift.configuration.exceptions import InvalidChangeError
from siskinshift.configuration.exceptions import NameTakenError
from siskinshift.core.endpoints import MAX_PORT
from siskinshift.core.endpoints import format_endpoint
from siskinshift.messages.core import Endpoint


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.messages.core import Group
    from siskinshift.messages.core import Service


# At the control budget of 21 KB a second a record must pass within the 3 s that a
# change may take to be in force.
RECORD_SIZE_MAXIMUM = 60_000
SHARE_MAXIMUM = 1_000_000
IMPORTANCE_MAXIMUM = 1_000_000

_NAME = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
_NAME_RULE = "1 to 63 of a-z, 0-9, '.', '_', '-', with a letter or digit at each end"
_CHANGE_ID = re.compile(r"[A-Za-z0-9-]{8,64}")
_DIGEST = re.compile(r"[0-9a-f]{64}")


def check_name(what: str, name: str) -> None:
    """Checks a name.

    Args:
        what: What it names, for the message.
        name: The name.

    Raises:
        InvalidChangeError: It is not allowed.
    """
    if not _NAME.fullmatch(name):
        raise InvalidChangeError(f"{what} {name!r}: allowed are {_NAME_RULE}")


def check_change_id(change_id: str) -> None:
    """Checks the id of a change.

    Args:
        change_id: The id.

    Raises:
        InvalidChangeError: It is not allowed.
    """
    if not _CHANGE_ID.fullmatch(change_id):
        allowed = "8 to 64 of A-Z, a-z, 0-9, '-'"
        raise InvalidChangeError(f"change id {change_id!r}: allowed are {allowed}")


def check_group(group: Group) -> None:
    """Checks a group.

    Args:
        group: The group.

    Raises:
        InvalidChangeError: A value is not allowed.
    """
    check_name("group", group.group_id)
    if not 1 <= group.share <= SHARE_MAXIMUM:
        raise InvalidChangeError(
            f"share {group.share} of {group.group_id}: allowed 1 to {SHARE_MAXIMUM}"
        )
    if group.credential_sha256 and not _DIGEST.fullmatch(group.credential_sha256):
        raise InvalidChangeError(
            f"credential of {group.group_id}: allowed 64 hex digits"
        )


def checked_service(service: Service) -> Service:
    """Checks a service by itself.

    Args:
        service: The service as an operator wrote it.

    Returns:
        The service with its addresses in canonical form.

    Raises:
        InvalidChangeError: A value is not allowed.
    """
    check_name("service", service.service_id)
    check_name("upstream class", service.upstream_class)
    if not service.addresses:
        raise InvalidChangeError("a service needs at least one address")
    addresses = tuple(_canonical(address) for address in service.addresses)
    _check_unique("address", [format_endpoint(address) for address in addresses])
    for group in service.groups:
        check_group(group)
    _check_unique("group", [group.group_id for group in service.groups])
    if not 1 <= service.importance <= IMPORTANCE_MAXIMUM:
        raise InvalidChangeError(
            f"importance {service.importance}: allowed 1 to {IMPORTANCE_MAXIMUM}"
        )
    for domain in service.placement:
        check_name("failure domain", domain)
    _check_unique("failure domain", service.placement)
    for member_id in service.drained:
        check_name("member", member_id)
    _check_unique("member", service.drained)
    for domain in service.evacuated:
        check_name("failure domain", domain)
    _check_unique("failure domain", service.evacuated)
    return attrs.evolve(service, addresses=addresses)


def check_addresses_free(service: Service, others: Iterable[Service]) -> None:
    """Checks that no other service has one of a service's addresses.

    Args:
        service: The service to be written.
        others: All services, this one and deleted ones as well.

    Raises:
        NameTakenError: An address is taken.
    """
    wanted = set(service.addresses)
    for other in others:
        if other.deleted or other.service_id == service.service_id:
            continue
        taken = wanted.intersection(other.addresses)
        if taken:
            texts = ", ".join(sorted(format_endpoint(address) for address in taken))
            raise NameTakenError(f"{texts} belongs to service {other.service_id}")


def _canonical(address: Endpoint) -> Endpoint:
    # One number has many spellings in IPv6; two of them must not pass as two.
    try:
        number = ipaddress.ip_address(address.host)
    except ValueError as error:
        raise InvalidChangeError(f"address {address.host!r}: no IP number") from error
    if number.is_unspecified or number.is_multicast:
        raise InvalidChangeError(f"address {address.host!r}: not one host's number")
    if not 1 <= address.port <= MAX_PORT:
        raise InvalidChangeError(f"port {address.port}: allowed 1 to {MAX_PORT}")
    return Endpoint(str(number), address.port)


def _check_unique(what: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise InvalidChangeError(f"{what} {name}: named twice")
        seen.add(name)
