"""A TCP proxy on the loopback interface that injects faults in front of the store."""

from __future__ import annotations

import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from enum import Enum
from enum import auto


LOOPBACK = "127.0.0.1"
READ_BYTES = 65_536
CONNECT_SECONDS = 1.0
MAX_THREADS = 256
# Size of a packet: a thin link forwards data in such chunks.
THIN_CHUNK_BYTES = 1400
# An eighth of a link of 1 Mbit/s, on which reading the list of members is slow.
THIN_BYTES_PER_SECOND = 16_000.0
# This SO_LINGER value makes a close reset the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """Fault of the connections between nodes and the store.

    DELAYED: all bytes are delayed. SILENT: bytes of both directions are dropped while
    the connection stays open. ANSWERS_LOST, REQUESTS_LOST: bytes of one direction are
    dropped. RESET: open connections are reset, and new ones on their first bytes.
    THIN: responses on all connections together are sent at a limited rate.
    """

    NONE = auto()
    DELAYED = auto()
    SILENT = auto()
    ANSWERS_LOST = auto()
    REQUESTS_LOST = auto()
    RESET = auto()
    THIN = auto()


REQUEST_LOSS_FAULTS = frozenset({LinkFault.SILENT, LinkFault.REQUESTS_LOST})
RESPONSE_LOSS_FAULTS = frozenset({LinkFault.SILENT, LinkFault.ANSWERS_LOST})


class _RateLimiter:
    """Limits the total rate of bytes that several threads send."""

    def __init__(self, bytes_per_second: float) -> None:
        self._seconds_per_byte = 1.0 / bytes_per_second
        self._lock = threading.Lock()
        self._free_at = 0.0

    def reserve(self, size: int) -> float:
        """Reserves time on the link; returns the seconds to wait before sending."""
        with self._lock:
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + size * self._seconds_per_byte
            return self._free_at - now


class StoreProxy:
    """A proxy that forwards connections to the store.

    Attributes:
        port: Port that nodes connect to.
        delay_seconds: Delay of all bytes while the fault is DELAYED.
    """

    def __init__(
        self,
        target_port: int,
        *,
        thin_bytes_per_second: float = THIN_BYTES_PER_SECOND,
    ) -> None:
        """Starts to listen.

        Args:
            target_port: Port of the store.
            thin_bytes_per_second: Rate of responses while the fault is THIN.
        """
        self.delay_seconds = 0.5
        self._rate_limiter = _RateLimiter(thin_bytes_per_second)
        self._target = (LOOPBACK, target_port)
        self._fault = LinkFault.NONE
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener = socket.create_server((LOOPBACK, 0), backlog=64)
        self.port: int = self._listener.getsockname()[1]
        self._executor = ThreadPoolExecutor(MAX_THREADS, "proxy")
        self._executor.submit(self._accept)

    def set_fault(self, fault: LinkFault) -> None:
        """Sets the fault from now on; dropped bytes are never sent.

        Args:
            fault: The fault, NONE to end the current one.
        """
        self._fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self._stopping.set()
        _shut_down_reads(self._listener)
        self._reset_all()
        self._executor.shutdown(wait=True)
        self._listener.close()

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                client, _ = self._listener.accept()
                server = socket.create_connection(self._target, CONNECT_SECONDS)
            except OSError:
                # The proxy is stopping, or the store is unreachable.
                continue
            server.settimeout(None)
            with self._lock:
                self._connections |= {client, server}
            self._executor.submit(self._forward, client, server, REQUEST_LOSS_FAULTS)
            self._executor.submit(self._forward, server, client, RESPONSE_LOSS_FAULTS)

    def _forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        loss_faults: frozenset[LinkFault],
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self._fault is LinkFault.RESET:
                    break
                if self._fault is LinkFault.DELAYED:
                    self._stopping.wait(self.delay_seconds)
                if (
                    self._fault is LinkFault.THIN
                    and loss_faults is RESPONSE_LOSS_FAULTS
                ):
                    self._send_limited(sink, data)
                elif self._fault not in loss_faults:
                    sink.sendall(data)
        except OSError:
            # Either end or the fault has reset the connection.
            return
        finally:
            self._discard(source)
            source.close()
            _shut_down_reads(sink)

    def _send_limited(self, sink: socket.socket, data: bytes) -> None:
        for start in range(0, len(data), THIN_CHUNK_BYTES):
            chunk = data[start : start + THIN_CHUNK_BYTES]
            self._stopping.wait(self._rate_limiter.reserve(len(chunk)))
            sink.sendall(chunk)

    def _reset_all(self) -> None:
        with self._lock:
            for connection in self._connections:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                _shut_down_reads(connection)

    def _discard(self, connection: socket.socket) -> None:
        with self._lock:
            self._connections.discard(connection)


def _shut_down_reads(connection: socket.socket) -> None:
    """Wakes the thread that reads from a socket; that thread closes the socket."""
    try:
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        # The socket is closed already.
        return
