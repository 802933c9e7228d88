"""The operators' configuration as the platform's store holds it."""

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
from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_number
from siskinshift.control.documents import get_object
from siskinshift.control.documents import get_objects
from siskinshift.control.documents import get_string
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from collections.abc import Mapping


# Prefix of all that operators write.
OPERATORS_PREFIX = "op/"
CONFIGURATION_KEY = OPERATORS_PREFIX + "config"
MILLISECONDS = 1000.0
DOWNLOAD = "download"
# A day; a request that may take longer is none.
DURATION_MS_MAXIMUM = 86_400_000
WEIGHT_MAXIMUM = 1_000_000
VERSION_MAXIMUM = (1 << 32) - 1


def decode_configuration(value: bytes) -> RouteTable:
    """Decodes a configuration.

    Args:
        value: The entry's value.

    Returns:
        The route table.

    Raises:
        BadMessageError: It can't be read; a part of one is never in force.
    """
    document = parse_object(value)
    routes = [_decode_route(route) for route in get_objects(document, "routes")]
    services = get_objects(document, "services")
    limits = get_object(document, "limits")
    return RouteTable(
        version=get_integer(document, "version", maximum=VERSION_MAXIMUM),
        routes_by_address=MappingProxyType({r.address: r for r in routes}),
        idle_timeout=_seconds_of(limits, "idle-timeout-ms"),
        health_paths_by_service=MappingProxyType(
            {get_string(s, "name"): get_string(s, "health-path") for s in services}
        ),
        warm_up_rates_by_service=_decode_warm_up_rates(services),
    )


def _decode_warm_up_rates(services: list[dict[str, Any]]) -> Mapping[str, float]:
    """Reads the rates; a rate of 0, or none, declares no bound."""
    rates_by_service = {
        get_string(service, "name"): get_number(
            service, "warmup-per-s", maximum=MAX_WARM_UP_RATE
        )
        for service in services
        if "warmup-per-s" in service
    }
    return MappingProxyType({s: r for s, r in rates_by_service.items() if r})


def _decode_route(route: dict[str, Any]) -> ConnectionRoute:
    return ConnectionRoute(
        name=get_string(route, "name"),
        address=_decode_address(route),
        targets=_decode_targets(route),
        terms=RequestParameters(
            objective=_seconds_of(route, "target-latency-ms"),
            deadline=_seconds_of(route, "timeout-ms"),
            urgency=get_integer(route, "priority"),
        ),
        is_single_request=get_string(route, "type") == DOWNLOAD,
    )


def _decode_address(route: dict[str, Any]) -> bytes:
    # A route's prefix is a port between slashes.
    host, port = get_string(route, "host"), get_string(route, "prefix").strip("/")
    try:
        return pack_service_address(host, int(port))
    except (OSError, OverflowError, ValueError) as error:
        raise BadMessageError(f"address: {host!r}, {port!r}") from error


def _seconds_of(table: dict[str, Any], name: str) -> float:
    return get_number(table, name, maximum=DURATION_MS_MAXIMUM) / MILLISECONDS


def _decode_targets(route: dict[str, Any]) -> tuple[Target, ...]:
    if not route.get("traffic-split"):
        return (Target(get_string(route, "service"), 1),)
    targets = [
        Target(
            get_string(part, "service"),
            get_integer(part, "weight", maximum=WEIGHT_MAXIMUM),
        )
        for part in get_objects(route, "traffic-split")
    ]
    targets = [target for target in targets if target.weight]
    if not targets:
        raise BadMessageError("traffic-split: no part has a weight")
    return tuple(targets)
