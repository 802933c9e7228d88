"""Tests of the proxy in front of the store."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

import pytest

from tests.soak.proxy import LOOPBACK
from tests.soak.proxy import LinkFault
from tests.soak.proxy import StoreProxy


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def proxy() -> Iterator[StoreProxy]:
    """Starts a proxy in front of an echo server."""
    server = socket.create_server((LOOPBACK, 0))

    def echo(connection: socket.socket) -> None:
        # A connection that the proxy resets ends with an error.
        with connection, contextlib.suppress(ConnectionError):
            while data := connection.recv(100):
                connection.sendall(data)

    def serve() -> None:
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    proxy = StoreProxy(server.getsockname()[1])
    yield proxy
    proxy.stop()
    server.close()


def _exchange(proxy: StoreProxy, *, timeout: float) -> bytes:
    with socket.create_connection((LOOPBACK, proxy.port), timeout) as client:
        client.sendall(b"question")
        return client.recv(100)


def test_bytes_pass_unchanged(proxy: StoreProxy) -> None:
    assert _exchange(proxy, timeout=5.0) == b"question"


@pytest.mark.parametrize(
    "fault", [LinkFault.SILENT, LinkFault.ANSWERS_LOST, LinkFault.REQUESTS_LOST]
)
def test_a_lossy_connection_stays_open_without_a_response(
    proxy: StoreProxy, fault: LinkFault
) -> None:
    proxy.set_fault(fault)

    with pytest.raises(TimeoutError):
        _exchange(proxy, timeout=0.3)


def test_a_reset_ends_open_connections(proxy: StoreProxy) -> None:
    with socket.create_connection((LOOPBACK, proxy.port), 5.0) as client:
        client.sendall(b"question")
        assert client.recv(100) == b"question"
        proxy.set_fault(LinkFault.RESET)
        with pytest.raises(ConnectionError):
            _read_until_error(client)

    proxy.set_fault(LinkFault.NONE)
    assert _exchange(proxy, timeout=5.0) == b"question"


def _read_until_error(client: socket.socket) -> None:
    if client.recv(100) == b"":
        raise ConnectionResetError
