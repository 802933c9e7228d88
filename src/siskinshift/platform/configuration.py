"""Decodes the operators' configuration from the platform's store."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any

from siskinshift.connections.peer_codec import MAX_WARM_UP_RATE
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.routes import ConnectionRoute
from siskinshift.connections.routes import RouteTable
from siskinshift.connections.routes import Target
from siskinshift.connections.segment import pack_service_address
from siskinshift.control.documents import number_of
from siskinshift.control.documents import parse_table
from siskinshift.control.documents import rows_of
from siskinshift.control.documents import table_of
from siskinshift.control.documents import text_of
from siskinshift.control.documents import whole_of
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from collections.abc import Mapping


# Prefix of all keys that operators write.
OPERATOR_KEY_PREFIX = "op/"
CONFIGURATION_KEY = OPERATOR_KEY_PREFIX + "config"
MILLISECONDS_PER_SECOND = 1000.0
DOWNLOAD_TYPE = "download"
# One day; no request has a longer time limit.
MAX_DURATION_MS = 86_400_000
MAX_WEIGHT = 1_000_000
MAX_VERSION = (1 << 32) - 1


def decode_configuration(value: bytes) -> RouteTable:
    """Decodes a configuration.

    Args:
        value: Value of the store's entry.

    Returns:
        The route table.

    Raises:
        BadMessageError: It is malformed. A configuration is never applied in part.
    """
    document = parse_table(value)
    routes = [_decode_route(route) for route in rows_of(document, "routes")]
    services = rows_of(document, "services")
    limits = table_of(document, "limits")
    return RouteTable(
        version=whole_of(document, "version", maximum=MAX_VERSION),
        routes_by_address=MappingProxyType({route.address: route for route in routes}),
        idle_timeout=_decode_seconds(limits, "idle-timeout-ms"),
        health_paths_by_service=MappingProxyType(
            {
                text_of(service, "name"): text_of(service, "health-path")
                for service in services
            }
        ),
        warm_up_rates_by_service=_decode_warm_up_rates(services),
    )


def _decode_warm_up_rates(services: list[dict[str, Any]]) -> Mapping[str, float]:
    """Decodes the rates; a missing rate or 0 means no limit."""
    rates_by_service = {
        text_of(service, "name"): number_of(
            service, "warmup-per-s", maximum=MAX_WARM_UP_RATE
        )
        for service in services
        if "warmup-per-s" in service
    }
    return MappingProxyType(
        {service: rate for service, rate in rates_by_service.items() if rate}
    )


def _decode_route(route: dict[str, Any]) -> ConnectionRoute:
    return ConnectionRoute(
        name=text_of(route, "name"),
        address=_decode_address(route),
        targets=_decode_targets(route),
        request_parameters=RequestParameters(
            objective=_decode_seconds(route, "target-latency-ms"),
            deadline=_decode_seconds(route, "timeout-ms"),
            urgency=whole_of(route, "priority"),
        ),
        is_single_request=text_of(route, "type") == DOWNLOAD_TYPE,
    )


def _decode_address(route: dict[str, Any]) -> bytes:
    # The field "prefix" of a route has the port between slashes.
    host, port = text_of(route, "host"), text_of(route, "prefix").strip("/")
    try:
        return pack_service_address(host, int(port))
    except (OSError, OverflowError, ValueError) as error:
        raise BadMessageError(f"address: {host!r}, {port!r}") from error


def _decode_seconds(table: dict[str, Any], name: str) -> float:
    return number_of(table, name, maximum=MAX_DURATION_MS) / MILLISECONDS_PER_SECOND


def _decode_targets(route: dict[str, Any]) -> tuple[Target, ...]:
    if not route.get("traffic-split"):
        return (Target(text_of(route, "service"), 1),)
    targets = [
        Target(text_of(split, "service"), whole_of(split, "weight", maximum=MAX_WEIGHT))
        for split in rows_of(route, "traffic-split")
    ]
    targets = [target for target in targets if target.weight]
    if not targets:
        raise BadMessageError("traffic-split: no target has a positive weight")
    return tuple(targets)
