"""Parses and formats endpoints."""

from __future__ import annotations

import ipaddress

from siskinshift.messages.core import Endpoint


MAX_PORT = 65535


def parse_endpoint(text: str) -> Endpoint:
    """Parses "IP:port"; an IPv6 address is enclosed in brackets.

    Args:
        text: Text form of the endpoint.

    Returns:
        The endpoint.

    Raises:
        ValueError: The text is not an endpoint; the message names the allowed form.
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
    """Formats an endpoint in the form that `parse_endpoint` reads.

    Args:
        endpoint: The endpoint.

    Returns:
        Text form of the endpoint.
    """
    if ":" in endpoint.host:
        return f"[{endpoint.host}]:{endpoint.port}"
    return f"{endpoint.host}:{endpoint.port}"
