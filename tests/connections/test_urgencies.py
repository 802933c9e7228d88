"""Tests of priorities that a message between nodes cannot carry."""

from __future__ import annotations

from types import MappingProxyType

import attrs
import pytest

from siskinshift.connections.peer_codec import MAX_URGENCY
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_codec import encode_forward
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.routes import RouteTable
from siskinshift.connections.urgencies import routes_with_fitting_urgencies
from tests.connections.builders import SERVICE_ADDRESS
from tests.connections.builders import routes


def _table(*priorities: int) -> RouteTable:
    (route,) = routes().routes_by_address.values()
    by_address = {
        SERVICE_ADDRESS[:4] + number.to_bytes(2, "big"): attrs.evolve(
            route, request_parameters=RequestParameters(urgency=priority)
        )
        for number, priority in enumerate(priorities)
    }
    return RouteTable(version=1, routes_by_address=MappingProxyType(by_address))


def _urgencies(table: RouteTable) -> list[int]:
    return [r.request_parameters.urgency for r in table.routes_by_address.values()]


@pytest.mark.parametrize("urgency", [0, 15, 16, 79, 80, 100, 255, 1 << 53])
@pytest.mark.parametrize("kind", RequestKind)
def test_a_packet_of_any_urgency_is_read_by_agents(
    urgency: int, kind: RequestKind
) -> None:
    """Guards against a route whose priority makes agents drop all of its packets."""
    parameters = RequestParameters(urgency=urgency, kind=kind)

    message = decode_peer_message(encode_forward(Purpose.OPEN, 1, b"p", parameters))

    assert isinstance(message, Forward)
    assert message.request_parameters.kind is kind
    assert message.request_parameters.urgency == min(urgency, MAX_URGENCY)


def test_priorities_that_fit_are_unchanged() -> None:
    table = _table(1, 2, 15)

    assert routes_with_fitting_urgencies(table) is table


def test_large_priorities_keep_their_order() -> None:
    """Guards against large priorities that all count as the same one."""
    assert _urgencies(routes_with_fitting_urgencies(_table(100, 20, 5, 20))) == [
        2,
        1,
        0,
        1,
    ]


def test_more_priorities_than_ranks_share_the_last_one() -> None:
    table = routes_with_fitting_urgencies(_table(*range(0, 60, 3)))

    assert _urgencies(table) == [min(rank, MAX_URGENCY) for rank in range(20)]
