"""Fits the priorities of a configuration into the messages between nodes."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs

from siskinshift.connections.peer_codec import MAX_URGENCY


if TYPE_CHECKING:
    from siskinshift.connections.routes import RouteTable


def routes_with_fitting_urgencies(routes: RouteTable) -> RouteTable:
    """Replaces urgencies by their ranks if a message cannot carry one of them.

    Args:
        routes: The configuration, with any priorities.

    Returns:
        The configuration, unchanged if all urgencies fit. Ranks keep the order of up to
        `MAX_URGENCY` different priorities; all lower ones share the last rank.
    """
    by_address = routes.routes_by_address
    urgencies = {route.request_parameters.urgency for route in by_address.values()}
    if max(urgencies, default=0) <= MAX_URGENCY:
        return routes
    ranks_by_urgency = {
        urgency: min(rank, MAX_URGENCY)
        for rank, urgency in enumerate(sorted(urgencies))
    }
    ranked = {
        address: attrs.evolve(
            route,
            request_parameters=attrs.evolve(
                route.request_parameters,
                urgency=ranks_by_urgency[route.request_parameters.urgency],
            ),
        )
        for address, route in by_address.items()
    }
    return attrs.evolve(routes, routes_by_address=MappingProxyType(ranked))
