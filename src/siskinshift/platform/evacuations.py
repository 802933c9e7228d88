"""Evacuations of failure domains as the platform's store holds them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.evacuations import is_domain_name
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from siskinshift.kv.port import Entry


# One entry for each evacuated domain; the domain is taken back by removing it.
EVACUATIONS_PREFIX = "op/evacuate/"


def decode_evacuated_domain(entry: Entry) -> str:
    """Reads which failure domain an entry evacuates.

    Args:
        entry: An entry whose key has the prefix.

    Returns:
        The failure domain.

    Raises:
        BadMessageError: Its key names no domain, or its value can't be read.
    """
    parse_object(entry.value)
    name = entry.key.removeprefix(EVACUATIONS_PREFIX)
    if "/" in name or not is_domain_name(name):
        raise BadMessageError(f"failure domain: {name!r}")
    return name
