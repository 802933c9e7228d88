"""The addresses where packets come in, read before the rest of the settings.

Loads nothing but the parser: see `siskinshift.runtime.datagram_sockets` for why.
"""

from __future__ import annotations

import os
import tomllib
from typing import Any


PATH_VARIABLE = "SISKINSHIFT_NODE_FILE"


def packet_addresses() -> list[tuple[str, int]]:
    """Reads where callers or the upstream beside this node send packets.

    Returns:
        Own IP numbers and ports; none if the file can't be read, which is reported
        when the settings are decoded.
    """
    try:
        with open(os.environ[PATH_VARIABLE], "rb") as file:
            document = tomllib.load(file)
    except (KeyError, OSError, ValueError):
        return []
    listen = document.get("listen")
    if not isinstance(listen, dict):
        return []
    # Beside an upstream, other nodes' packets come to a port of their own.
    address = listen.get("outbound") or listen.get("datagram-addr")
    parsed = _parse(address)
    return [parsed] if parsed else []


def _parse(address: Any) -> tuple[str, int] | None:
    if not isinstance(address, str):
        return None
    host, _, port = address.rpartition(":")
    return (host, int(port)) if host and port.isdecimal() else None
