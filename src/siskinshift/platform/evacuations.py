"""Decodes evacuations of failure domains from the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.evacuations import is_domain_name
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from siskinshift.kv.port import Entry


# One entry for each evacuated domain; removing the entry ends the evacuation.
EVACUATIONS_PREFIX = "op/evacuate/"


def decode_evacuated_domain(entry: Entry) -> str:
    """Returns the failure domain that an entry evacuates.

    Args:
        entry: An entry whose key has the prefix.

    Returns:
        The failure domain.

    Raises:
        BadMessageError: Its key has no valid domain name, or its value is malformed.
    """
    parse_object(entry.value)
    name = entry.key.removeprefix(EVACUATIONS_PREFIX)
    if "/" in name or not is_domain_name(name):
        raise BadMessageError(f"failure domain: {name!r}")
    return name
