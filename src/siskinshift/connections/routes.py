"""Where the operators send new flows: service addresses and what stands behind them."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

import xxhash
from attrs import Factory
from attrs import frozen

from siskinshift.connections.request_queue import Terms


_TAG_MASK = 0xFFFFFFFF


@frozen
class Target:
    """A service that gets a part of a route's new flows.

    Attributes:
        service_id: The service.
        weight: Its part, relative to the other targets of the route.
    """

    service_id: str
    weight: int


@frozen
class ConnectionRoute:
    """A service address and what operators want of flows to it.

    Attributes:
        name: Name of the route.
        address: Address and port, six bytes packed.
        targets: Services that take new flows, with a total weight above 0.
        terms: What callers on the route want.
        is_single_request: Whether a flow carries one request and ends.
    """

    name: str
    address: bytes
    targets: tuple[Target, ...]
    terms: Terms
    is_single_request: bool

    @property
    def service_ids(self) -> tuple[str, ...]:
        """Services that may hold flows of the route."""
        return tuple(target.service_id for target in self.targets)

    def service_for(self, flow: bytes) -> str:
        """Draws the service of a new flow, the same one on every node.

        Args:
            flow: The flow.

        Returns:
            The service's id.
        """
        if len(self.targets) == 1:
            return self.targets[0].service_id
        total = sum(target.weight for target in self.targets)
        point = xxhash.xxh3_64_intdigest(flow) % total
        for target in self.targets:
            if point < target.weight:
                return target.service_id
            point -= target.weight
        return self.targets[-1].service_id


@frozen
class RouteTable:
    """One version of the operators' configuration; immutable.

    Attributes:
        version: Its version; 0 before the first was read.
        routes_by_address: Routes by packed address and port.
        idle_timeout: Seconds of silence after which a flow may be forgotten.
        health_paths_by_service: Path of each service's health check.
        warm_up_rates_by_service: New flows a second that a cold upstream of the
            service bears; services that declare none are not listed.
    """

    version: int = 0
    routes_by_address: Mapping[bytes, ConnectionRoute] = Factory(
        lambda: MappingProxyType({})
    )
    idle_timeout: float = 60.0
    health_paths_by_service: Mapping[str, str] = Factory(lambda: MappingProxyType({}))
    warm_up_rates_by_service: Mapping[str, float] = Factory(
        lambda: MappingProxyType({})
    )


def service_tag(service_id: str) -> int:
    """Hashes a service's id for the messages between nodes.

    Args:
        service_id: The service.

    Returns:
        32 bits.
    """
    return xxhash.xxh3_64_intdigest(service_id.encode()) & _TAG_MASK
