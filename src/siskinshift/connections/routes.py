"""The routing table: service addresses with their targets and request parameters."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

import xxhash
from attrs import Factory
from attrs import frozen

from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.request_queue import RequestParameters


_TAG_MASK = 0xFFFFFFFF


@frozen
class Target:
    """A service that receives a fraction of a route's new flows.

    Attributes:
        service_id: The service.
        weight: Its weight relative to the other targets of the route.
    """

    service_id: str
    weight: int


@frozen
class ConnectionRoute:
    """A service address and the settings of its flows.

    Attributes:
        name: Name of the route.
        address: Address and port, six bytes packed.
        targets: Services that receive new flows, with a total weight above 0.
        request_parameters: Request parameters of the route's flows.
        is_single_request: Whether a flow ends after one request.
        kind: Kind of the route's requests.
    """

    name: str
    address: bytes
    targets: tuple[Target, ...]
    request_parameters: RequestParameters
    is_single_request: bool
    kind: RequestKind = RequestKind.UNKNOWN

    @property
    def service_ids(self) -> tuple[str, ...]:
        """Services that may hold flows of the route."""
        return tuple(target.service_id for target in self.targets)

    def service_for(self, flow: bytes) -> str:
        """Selects the service of a new flow by hash, the same one on every node.

        Args:
            flow: The flow.

        Returns:
            The service's id.
        """
        if len(self.targets) == 1:
            return self.targets[0].service_id
        total = sum(target.weight for target in self.targets)
        position = xxhash.xxh3_64_intdigest(flow) % total
        for target in self.targets:
            if position < target.weight:
                return target.service_id
            position -= target.weight
        return self.targets[-1].service_id


@frozen
class RouteTable:
    """One version of the operators' configuration; immutable.

    Attributes:
        version: Version of the configuration; 0 before the first was read.
        routes_by_address: Routes by packed address and port.
        idle_timeout: Seconds without packets after which a flow may be removed.
        health_paths_by_service: Path of each service's health check.
        warm_up_rates_by_service: New flows a second that a cold upstream of the
            service can accept; services that declare none are not listed.
        max_connections_by_service: Open flows that an upstream of a service can hold;
            services that declare none are not listed.
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
    max_connections_by_service: Mapping[str, int] = Factory(
        lambda: MappingProxyType({})
    )


def service_tag(service_id: str) -> int:
    """Hashes a service's id for the messages between peers.

    Args:
        service_id: The service.

    Returns:
        32 bits.
    """
    return xxhash.xxh3_64_intdigest(service_id.encode()) & _TAG_MASK
