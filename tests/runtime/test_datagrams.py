"""Tests of the receive loop of datagram sockets."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

from siskinshift.messages.core import Endpoint
from siskinshift.runtime.datagrams import DatagramSocket


LOOPBACK = Endpoint("127.0.0.1", 0)


def test_a_failed_handler_does_not_end_the_loop() -> None:
    """Guards against an agent that seems alive while all of its flows are stopped.

    If an error in the handler of one datagram ended the receive loop, all later
    datagrams of all flows would be lost.
    """
    stopping = threading.Event()
    sender = DatagramSocket(LOOPBACK)
    receiver = DatagramSocket(LOOPBACK)
    received = []

    def handle(datagram: bytes, _source: tuple[str, int]) -> None:
        if datagram == b"bad":
            raise ValueError("handler failed")
        received.append(datagram)
        stopping.set()

    with ThreadPoolExecutor(1) as executor:
        loop = executor.submit(receiver.receive_until, stopping, handle)
        sender.send(b"bad", receiver.endpoint)
        sender.send(b"good", receiver.endpoint)
        loop.result()
    sender.close()
    receiver.close()

    assert received == [b"good"]
    assert receiver.failures == 1
