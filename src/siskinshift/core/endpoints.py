"""Reading and writing of endpoints."""

from __future__ import annotations

import ipaddress

from siskinshift.messages.core import Endpoint


MAX_PORT = 65535


def parse_endpoint(text: str) -> Endpoint:
    """Reads "IP:port"; an IPv6 number stands in brackets.

    Args:
        text: The endpoint as text.

    Returns:
        The endpoint.

    Raises:
        ValueError: The text is no endpoint; the message says what is allowed.
    """
    host, _, port_text = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        port = int(port_text)
    except ValueError as error:
        raise ValueError("allowed: an IP number, a colon and a port") from error
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f"allowed: a port from 0 to {MAX_PORT}")
    return Endpoint(host=host, port=port)


def format_endpoint(endpoint: Endpoint) -> str:
    """Writes an endpoint as `parse_endpoint` reads it.

    Args:
        endpoint: The endpoint.

    Returns:
        Its text.
    """
    if ":" in endpoint.host:
        return f"[{endpoint.host}]:{endpoint.port}"
    return f"{endpoint.host}:{endpoint.port}"
