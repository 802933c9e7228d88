"""Tests of the loop that owns all decisions of a process."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

from siskinshift.runtime.event_loop import EventLoop
from siskinshift.runtime.event_loop import open_datagram_socket
from tests.connections.builders import quiet_log


if TYPE_CHECKING:
    from collections.abc import Iterator

import pytest


LOOPBACK = "127.0.0.1"


@pytest.fixture
def loop() -> Iterator[EventLoop]:
    loop = EventLoop(clock=lambda: 0.0, log=quiet_log())
    yield loop
    loop.close()


def test_an_answer_that_has_come_is_read_before_timers_look_for_it(
    loop: EventLoop,
) -> None:
    """A balancer has more packets to read than its processor can take.

    Each batch of callers' packets takes longer than agents need to answer. The timer
    that asks a second agent ran before the first one's answer was read, so each opening
    packet went to several agents, and the balancer had yet more to do.
    """
    callers = open_datagram_socket(LOOPBACK, 0)
    peers = open_datagram_socket(LOOPBACK, 0)
    outside = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stopping = threading.Event()
    events: list[str] = []

    def on_caller(datagram: bytes, source: tuple[str, int], now: float) -> None:
        events.append("packet")
        outside.sendto(b"answer", peers.getsockname())

    def on_peer(datagram: bytes, source: tuple[str, int], now: float) -> None:
        events.append("answer")

    def on_timer(now: float) -> float:
        if events:
            events.append("timer")
            stopping.set()
        return now + 60.0

    loop.add_socket(callers, on_caller)
    loop.add_socket(peers, on_peer, is_last=True)
    loop.add_timer(on_timer)
    for _ in range(3):
        outside.sendto(b"packet", callers.getsockname())

    loop.run_until(stopping)

    assert events == ["packet"] * 3 + ["answer"] * 3 + ["timer"]
    for opened in (callers, peers, outside):
        opened.close()
