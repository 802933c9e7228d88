"""Parses headers of any layout with the library, slower than on the hot path."""

from __future__ import annotations

import socket
import struct

from proxyprotocol import ProxyProtocolChecksumError
from proxyprotocol import ProxyProtocolSyntaxError
from proxyprotocol.result import ProxyResultIPv4
from proxyprotocol.result import ProxyResultIPv6
from proxyprotocol.v2 import ProxyProtocolV2

from siskinshift.messages.core import Endpoint
from siskinshift.wire.exceptions import BadHeaderError


_protocol = ProxyProtocolV2()


def parse_addresses(header: bytes) -> tuple[Endpoint, Endpoint]:
    """Parses the source and the destination of a header.

    A checksum TLV is verified only if the library's optional module for it is
    installed; the locked environment does not include it.

    Args:
        header: A complete header.

    Returns:
        Source and destination.

    Raises:
        BadHeaderError: It is not a PROXY protocol v2 header of a datagram.
    """
    try:
        result = _protocol.unpack(header)
    except (
        ProxyProtocolSyntaxError,
        ProxyProtocolChecksumError,
        struct.error,
        ValueError,
    ) as error:
        raise BadHeaderError from error
    if not isinstance(result, (ProxyResultIPv4, ProxyResultIPv6)):
        raise BadHeaderError
    if result.protocol is not socket.SOCK_DGRAM:
        raise BadHeaderError
    return (
        Endpoint(str(result.source[0]), result.source[1]),
        Endpoint(str(result.dest[0]), result.dest[1]),
    )
