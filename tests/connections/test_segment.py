"""Tests of flow keys and sequence numbers."""

from __future__ import annotations

from siskinshift.connections.segment import caller_host
from siskinshift.connections.segment import format_flow
from siskinshift.connections.segment import is_at_or_after
from siskinshift.connections.segment import is_between
from siskinshift.connections.segment import service_address
from tests.connections.builders import SERVICE_ADDRESS
from tests.connections.builders import flow_of


def test_a_flow_key_contains_both_endpoints() -> None:
    flow = flow_of(40001)

    assert caller_host(flow) == "100.64.0.7"
    assert service_address(flow) == SERVICE_ADDRESS
    assert format_flow(flow) == "100.64.0.7:40001>198.18.0.1:443"


def test_ranges_may_wrap_around() -> None:
    assert is_between(5, 5, 5)
    assert is_between(3, 2**32 - 5, 9)
    assert not is_between(10, 2**32 - 5, 9)
    assert not is_between(4, 5, 9)
    assert is_at_or_after(3, 2**32 - 5)
    assert not is_at_or_after(2**32 - 5, 3)
