"""Tests of a flow's identity and its sequence numbers."""

from __future__ import annotations

from siskinshift.connections.segment import SEQUENCE_WINDOW
from siskinshift.connections.segment import caller_host
from siskinshift.connections.segment import flow_name
from siskinshift.connections.segment import is_near
from siskinshift.connections.segment import service_address
from tests.connections.builders import SERVICE_ADDRESS
from tests.connections.builders import flow_of


def test_a_flow_names_its_ends() -> None:
    flow = flow_of(40001)

    assert caller_host(flow) == "100.64.0.7"
    assert service_address(flow) == SERVICE_ADDRESS
    assert flow_name(flow) == "100.64.0.7:40001>198.18.0.1:443"


def test_numbers_are_near_across_the_wrap() -> None:
    assert is_near(5, 2**32 - 5)
    assert is_near(2**32 - 5, 5)
    assert not is_near(0, SEQUENCE_WINDOW)
    assert not is_near(SEQUENCE_WINDOW + 1, 0)
