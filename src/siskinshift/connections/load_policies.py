"""Determines which load policies a deployment calls for.

A deployment that declares neither uploads nor overload control is served without any of
them, with unchanged messages between its nodes.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.request_kind import RequestKind


if TYPE_CHECKING:
    from siskinshift.connections.node_settings import PolicySettings
    from siskinshift.connections.routes import RouteTable


@frozen
class LoadPolicies:
    """Load policies in force at a balancer.

    Attributes:
        bulk_scheduling: Whether the balancer schedules its own link by traffic class,
            and agents receive uploads without a slot.
        admission: Whether agents refuse new flows that cannot be served in time.
        outlier_detection: Whether agents with failing upstreams are ejected.
        expected_wait: Whether flows are placed by expected wait.
    """

    bulk_scheduling: bool = False
    admission: bool = False
    outlier_detection: bool = False
    expected_wait: bool = False

    @property
    def is_any_in_force(self) -> bool:
        """Whether agents have to be notified of policies."""
        return self != NO_POLICIES

    def for_service(self, service_id: str, routes: RouteTable) -> ServicePolicy:
        """Returns the policy that the agents of a service are sent.

        Args:
            service_id: The service.
            routes: The configuration in force.

        Returns:
            The policy.
        """
        return ServicePolicy(
            max_connections=routes.max_connections_by_service.get(service_id, 0),
            uses_admission=self.admission,
            wants_reports=self.outlier_detection or self.expected_wait,
            receives_without_slot=self.bulk_scheduling,
        )


NO_POLICIES = LoadPolicies()


def resolve_policies(settings: PolicySettings, routes: RouteTable) -> LoadPolicies:
    """Determines the policies that settings and configuration call for.

    Args:
        settings: Policy settings of the node.
        routes: The configuration.

    Returns:
        The policies.
    """
    has_uploads = any(
        route.kind is RequestKind.UPLOAD for route in routes.routes_by_address.values()
    )
    is_any = has_uploads or settings.overload_control
    return LoadPolicies(
        bulk_scheduling=has_uploads,
        admission=settings.overload_control,
        outlier_detection=is_any,
        # Spilling by room pays where demand exceeds the capacity of a domain. Below it,
        # balancing open flows over all domains keeps the longest waits shorter.
        expected_wait=settings.overload_control,
    )


def routes_with_kinds(routes: RouteTable, policies: LoadPolicies) -> RouteTable:
    """Adds the kind of their requests to the parameters that agents receive.

    Args:
        routes: The configuration.
        policies: The policies in force.

    Returns:
        The configuration, unchanged if no policy is in force.
    """
    if not policies.is_any_in_force:
        return routes
    routes_by_address = {
        address: attrs.evolve(
            route,
            request_parameters=attrs.evolve(route.request_parameters, kind=route.kind),
        )
        for address, route in routes.routes_by_address.items()
    }
    return attrs.evolve(routes, routes_by_address=MappingProxyType(routes_by_address))
