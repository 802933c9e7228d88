"""Decodes the operators' configuration from the platform's store."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any

from siskinshift.connections.peer_codec import MAX_WARM_UP_RATE
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.routes import ConnectionRoute
from siskinshift.connections.routes import RouteTable
from siskinshift.connections.routes import Target
from siskinshift.connections.segment import pack_service_address
from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_number
from siskinshift.control.documents import get_object
from siskinshift.control.documents import get_objects
from siskinshift.control.documents import get_string
from siskinshift.control.documents import get_text
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from collections.abc import Mapping


# Prefix of all keys that operators write.
OPERATOR_KEY_PREFIX = "op/"
CONFIGURATION_KEY = OPERATOR_KEY_PREFIX + "config"
MILLISECONDS_PER_SECOND = 1000.0
DOWNLOAD_TYPE = "download"
KINDS_BY_TYPE = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    DOWNLOAD_TYPE: RequestKind.DOWNLOAD,
    "upload": RequestKind.UPLOAD,
}
# The store accepts only valid configurations, so a value beyond what nodes handle is
# reduced. A refused configuration would leave the one before in force.
MAX_CONNECTIONS = (1 << 32) - 1
# One day; no request has a longer time limit.
MAX_DURATION_MS = 86_400_000


def decode_configuration(value: bytes) -> RouteTable:
    """Decodes a configuration.

    Args:
        value: Value of the store's entry.

    Returns:
        The route table.

    Raises:
        BadMessageError: It is malformed. A configuration is never applied in part.
    """
    document = parse_object(value)
    routes = [_decode_route(route) for route in get_objects(document, "routes")]
    services = get_objects(document, "services")
    limits = get_object(document, "limits")
    return RouteTable(
        version=get_integer(document, "version"),
        routes_by_address=MappingProxyType({route.address: route for route in routes}),
        idle_timeout=_decode_seconds(limits, "idle-timeout-ms"),
        health_paths_by_service=MappingProxyType(
            {
                get_text(service, "name"): get_text(service, "health-path")
                for service in services
            }
        ),
        warm_up_rates_by_service=_decode_warm_up_rates(services),
        max_connections_by_service=_decode_max_connections(services),
    )


def _decode_max_connections(services: list[dict[str, Any]]) -> Mapping[str, int]:
    """Decodes the limits; a missing limit or 0 means no limit."""
    limits_by_service = {
        get_text(service, "name"): min(
            get_integer(service, "max-conns"), MAX_CONNECTIONS
        )
        for service in services
        if "max-conns" in service
    }
    return MappingProxyType(
        {service: limit for service, limit in limits_by_service.items() if limit}
    )


def _decode_warm_up_rates(services: list[dict[str, Any]]) -> Mapping[str, float]:
    """Decodes the rates; a missing rate or 0 means no limit."""
    rates_by_service = {
        get_text(service, "name"): min(
            get_number(service, "warmup-per-s"), MAX_WARM_UP_RATE
        )
        for service in services
        if "warmup-per-s" in service
    }
    return MappingProxyType(
        {service: rate for service, rate in rates_by_service.items() if rate}
    )


def _decode_route(route: dict[str, Any]) -> ConnectionRoute:
    return ConnectionRoute(
        name=get_text(route, "name"),
        address=_decode_address(route),
        targets=_decode_targets(route),
        request_parameters=RequestParameters(
            objective=_decode_seconds(route, "target-latency-ms"),
            deadline=_decode_seconds(route, "timeout-ms"),
            urgency=get_integer(route, "priority"),
        ),
        is_single_request=get_text(route, "type") == DOWNLOAD_TYPE,
        kind=KINDS_BY_TYPE.get(get_text(route, "type"), RequestKind.UNKNOWN),
    )


def _decode_address(route: dict[str, Any]) -> bytes:
    # The field "prefix" of a route has the port between slashes.
    host, port = get_string(route, "host"), get_string(route, "prefix").strip("/")
    try:
        return pack_service_address(host, int(port))
    except (OSError, OverflowError, ValueError) as error:
        raise BadMessageError(f"address: {host!r}, {port!r}") from error


def _decode_seconds(table: dict[str, Any], name: str) -> float:
    return min(get_number(table, name), MAX_DURATION_MS) / MILLISECONDS_PER_SECOND


def _decode_targets(route: dict[str, Any]) -> tuple[Target, ...]:
    if not route.get("traffic-split"):
        return (Target(get_text(route, "service"), 1),)
    targets = [
        Target(get_text(split, "service"), get_integer(split, "weight"))
        for split in get_objects(route, "traffic-split")
    ]
    targets = [target for target in targets if target.weight]
    if not targets:
        raise BadMessageError("traffic-split: no target has a positive weight")
    return tuple(targets)
