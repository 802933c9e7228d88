"""Computes the hash that identifies a flow."""

from __future__ import annotations

import socket
from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash


if TYPE_CHECKING:
    from siskinshift.messages.core import Endpoint


HOST_CACHE_SIZE = 4096


@lru_cache(maxsize=HOST_CACHE_SIZE)
def _host_bytes(host: str) -> bytes:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.inet_pton(family, host)


def hash_flow(*, caller: Endpoint, service_address: Endpoint) -> int:
    """Hashes the pair of endpoints that identifies a flow.

    Args:
        caller: The caller's endpoint.
        service_address: The service address.

    Returns:
        A 64-bit hash that is the same in all processes.
    """
    ports = (caller.port << 16 | service_address.port).to_bytes(4, "big")
    hosts = _host_bytes(caller.host) + _host_bytes(service_address.host)
    return xxhash.xxh3_64_intdigest(hosts + ports)
