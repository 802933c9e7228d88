"""Tests of sockets that are bound before a process is up."""

from __future__ import annotations

import socket
import subprocess
import sys

import pytest

from siskinshift.runtime.datagram_sockets import bind_early
from siskinshift.runtime.datagram_sockets import open_datagram_socket


LOOPBACK = "127.0.0.1"


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port


def test_a_packet_that_comes_while_the_process_loads_is_kept() -> None:
    """All power is back; a caller's packet meets a balancer that is still loading.

    Without a socket it was lost and the caller sent the next copy 200 to 800 ms later,
    beyond its objective, although the balancer was up before that.
    """
    port = _free_port()
    bind_early([(LOOPBACK, port)])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        caller.sendto(b"packet", (LOOPBACK, port))

    with open_datagram_socket(LOOPBACK, port) as opened:
        assert opened.recv(100) == b"packet"
        with pytest.raises(OSError, match="in use"):
            open_datagram_socket(LOOPBACK, port)


def test_an_address_that_can_not_be_bound_early_is_reported_later() -> None:
    bind_early([("198.51.100.1", 9)])

    with pytest.raises(OSError, match="assign"):
        open_datagram_socket("198.51.100.1", 9)


def test_binding_early_loads_none_of_the_node() -> None:
    """What is loaded before the socket is bound delays it: the parser is enough."""
    code = (
        "import sys\n"
        "import siskinshift.platform.early_settings\n"
        "import siskinshift.runtime.datagram_sockets\n"
        "print(*{'attr', 'orjson', 'logging'} & set(sys.modules))"
    )
    ran = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        check=True,
        env={"PYTHONPATH": "src"},
        text=True,
    )

    assert ran.stdout.strip() == ""
