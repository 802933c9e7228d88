"""Tests of the loop that receives datagrams."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

from siskinshift.messages.core import Endpoint
from siskinshift.runtime.datagrams import DatagramSocket


LOOPBACK = Endpoint("127.0.0.1", 0)


def test_a_handler_that_fails_does_not_end_the_loop() -> None:
    """Guards against an agent that looks alive while all its flows are silent.

    One datagram meets a fault in its handler. Without the guard the loop's thread
    ends there, and every later datagram of every flow is lost.
    """
    stopping = threading.Event()
    sender = DatagramSocket(LOOPBACK)
    receiver = DatagramSocket(LOOPBACK)
    taken = []

    def handle(datagram: bytes, _source: tuple[str, int]) -> None:
        if datagram == b"bad":
            raise ValueError("a fault")
        taken.append(datagram)
        stopping.set()

    with ThreadPoolExecutor(1) as executor:
        loop = executor.submit(receiver.receive_until, stopping, handle)
        sender.send(b"bad", receiver.endpoint)
        sender.send(b"good", receiver.endpoint)
        loop.result()
    sender.close()
    receiver.close()

    assert taken == [b"good"]
    assert receiver.failures == 1
