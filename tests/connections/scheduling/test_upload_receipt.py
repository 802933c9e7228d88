"""Tests of uploads that are received without a slot."""

from __future__ import annotations

from random import Random

import pytest

from siskinshift.connections.scheduling.upload_receipt import MAX_TRANSFER_BYTES
from siskinshift.connections.scheduling.upload_receipt import MAX_TRANSFERS
from siskinshift.connections.scheduling.upload_receipt import STALL_SECONDS
from siskinshift.connections.scheduling.upload_receipt import UploadReceipt
from siskinshift.connections.segment import SEQUENCE_SPACE
from siskinshift.connections.segment import Segment
from tests.connections.scheduling.load import data
from tests.connections.scheduling.load import flow_key


FLOW = flow_key(1, 1)
FULL = 1200


def _upload(size: int, *, first_seq: int = 2) -> list[Segment]:
    return [
        data(FLOW, (first_seq + at) % SEQUENCE_SPACE, min(FULL, size - at))
        for at in range(0, size, FULL)
    ]


def _opened(first_seq: int = 2) -> UploadReceipt:
    receipt = UploadReceipt()
    receipt.open(FLOW, first_seq, now=0.0)
    return receipt


@pytest.mark.parametrize("seed", range(1, 11))
def test_the_last_packet_is_recognized_in_any_order(seed: int) -> None:
    """Guards against a reordered short packet starting an incomplete request."""
    rng = Random(seed)
    first_seq = SEQUENCE_SPACE - 20_000 if seed % 2 else 2
    packets = _upload(40_000, first_seq=first_seq)
    sent = packets + rng.choices(packets, k=10)
    rng.shuffle(sent)
    receipt = _opened(first_seq)
    missing = {packet.seq for packet in packets}
    lasts = []

    for packet in sent:
        missing.discard(packet.seq)
        result = receipt.receive(packet, now=0.0)
        assert result is not None
        assert packets[-1].datagram not in result.forwarded
        if result.last is not None:
            assert not missing
            lasts.append(result.last)

    assert lasts == [packets[-1]]


def test_a_short_packet_in_the_middle_is_not_the_last() -> None:
    """Guards against holding bytes back that the sender continues after."""
    receipt = _opened()
    short, after = data(FLOW, 1202, 100), data(FLOW, 1302, FULL)

    assert receipt.receive(short, now=0.0) is not None
    result = receipt.receive(after, now=0.0)

    assert result is not None
    assert result.forwarded == (short.datagram, after.datagram)


def test_a_full_last_packet_is_forwarded() -> None:
    """Guards against waiting for an end that cannot be told."""
    receipt = _opened()

    results = [receipt.receive(packet, now=0.0) for packet in _upload(3 * FULL)]

    assert all(r is not None and r.forwarded and r.last is None for r in results)
    assert (len(receipt), receipt.window_bytes) == (1, 3 * FULL)


def test_the_window_limits_transfers_and_bytes() -> None:
    """Guards against unbounded data at the upstream."""
    receipt = _opened()
    for number in range(2, 2 * MAX_TRANSFERS):
        receipt.open(flow_key(number, 1), 2, now=0.0)
    results = [receipt.receive(p, now=0.0) for p in _upload(2 * MAX_TRANSFER_BYTES)]

    assert len(receipt) == MAX_TRANSFERS - 1
    assert results.count(None) >= MAX_TRANSFER_BYTES // FULL
    assert receipt.window_bytes == 0


def test_a_stalled_transfer_frees_its_place_and_may_resume() -> None:
    """Guards against callers that vanish and fill the window."""
    receipt = _opened()
    packets = _upload(3000)
    receipt.receive(packets[0], now=0.0)

    assert receipt.free_stalled(now=STALL_SECONDS) == []
    assert receipt.free_stalled(now=STALL_SECONDS + 0.1) == [FLOW]
    assert (len(receipt), receipt.window_bytes) == (0, 0)
    results = [receipt.receive(p, now=5.0) for p in packets[1:]]
    assert results[-1] is not None
    assert results[-1].last == packets[-1]
