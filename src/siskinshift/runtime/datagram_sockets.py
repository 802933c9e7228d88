"""UDP sockets, also such as are bound before the rest of a process is loaded.

Loading a node takes 0.2 s of a core, most of a second on the smallest instance. Callers
send again 0.2, 0.4 and 0.8 s after a packet that met no socket; one that met a bound
socket waits there and is answered as soon as the node is up.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable


# Room for half a second of the busiest link's packets while the process starts or
# stands still; the kernel may allow less.
RECEIVE_BUFFER_BYTES = 1 << 20

_early_by_address: dict[tuple[str, int], socket.socket] = {}


def bind_early(addresses: Iterable[tuple[str, int]]) -> None:
    """Binds sockets that `open_datagram_socket` will hand out.

    Args:
        addresses: Own IP numbers and ports.
    """
    for host, port in addresses:
        try:
            _early_by_address[(host, port)] = _bind(host, port)
        except OSError:
            # `open_datagram_socket` tries again and reports the error.
            continue


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Binds a UDP socket that never blocks, or gives the one that was bound early.

    Args:
        host: Own IP number.
        port: Port; 0 takes a free one.

    Returns:
        The socket.

    Raises:
        OSError: The address is taken or not the instance's own.
    """
    return _early_by_address.pop((host, port), None) or _bind(host, port)


def _bind(host: str, port: int) -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        opened.bind((host, port))
    except OSError:
        opened.close()
        raise
    opened.setblocking(False)
    return opened
