"""Tests of the byte budget and of held packets."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from siskinshift.core.packets import Envelope
from siskinshift.core.packets import Packet
from siskinshift.flows.held_packets import HeldPackets
from siskinshift.flows.pacing import BURST_SECONDS
from siskinshift.flows.pacing import ByteBudget
from siskinshift.messages.core import Endpoint


RATE = 12_000
PACKET = Packet(Endpoint("127.0.2.1", 1), Endpoint("127.0.1.0", 443), b"")


@given(sizes=st.lists(st.integers(1, 20_000), min_size=1, max_size=60))
def test_a_rack_that_comes_back_does_not_crowd_out_heartbeats(sizes: list[int]) -> None:
    """All peers of a rack claim at once, and each list is due at once.

    Without pacing the lists would take the whole control budget. Over any time
    no more goes out than the burst, the rate, and one message begun before.
    """
    budget = ByteBudget(bytes_per_second=RATE)
    now, sent = 0.0, 0
    for size in sizes:
        now += budget.delay_before_send(now=now)
        assert sent <= RATE * (BURST_SECONDS + now) + 1
        budget.consume(size, now=now)
        sent += size


def test_after_an_idle_time_no_more_than_the_burst_is_available() -> None:
    budget = ByteBudget(bytes_per_second=RATE)
    budget.consume(1, now=0.0)

    budget.consume(int(RATE * BURST_SECONDS), now=1000.0)

    assert budget.delay_before_send(now=1000.0) > 0


def test_held_packets_are_released_in_order_and_by_flow() -> None:
    held = HeldPackets(limit=10, timeout=5.0)
    envelopes = [Envelope(PACKET, view_version=number) for number in range(4)]
    for flow_hash, envelope in zip((1, 2, 1, 3), envelopes, strict=True):
        held.hold(
            service_id="editor",
            bucket=7,
            flow_hash=flow_hash,
            envelope=envelope,
            now=0.0,
        )

    assert held.release("editor", 8) == []
    assert held.release("editor", 7, {1}) == [envelopes[0], envelopes[2]]
    assert held.expire(now=4.9) == 0
    assert held.release("editor", 7) == [envelopes[1], envelopes[3]]
    assert len(held) == 0


def test_held_packets_expire_and_are_refused_at_the_limit() -> None:
    held = HeldPackets(limit=1, timeout=5.0)
    arguments = {"service_id": "editor", "bucket": 7, "flow_hash": 1}
    envelope = Envelope(PACKET)

    assert held.hold(**arguments, envelope=envelope, now=0.0)  # type: ignore[arg-type]
    assert not held.hold(**arguments, envelope=envelope, now=1.0)  # type: ignore[arg-type]
    assert held.expire(now=5.0) == 1
    assert held.release("editor", 7) == []
