"""The operators' configuration as the platform's store holds it."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any

import orjson

from siskinshift.connections.request_queue import Terms
from siskinshift.connections.routes import ConnectionRoute
from siskinshift.connections.routes import RouteTable
from siskinshift.connections.routes import Target
from siskinshift.connections.segment import pack_service_address
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from collections.abc import Iterator


CONFIGURATION_KEY = "op/config"
MILLISECONDS = 1000.0
DOWNLOAD = "download"
MALFORMED = (AttributeError, KeyError, TypeError, ValueError, OSError)


def decode_configuration(value: bytes) -> RouteTable:
    """Decodes a configuration.

    Args:
        value: The entry's value.

    Returns:
        The route table.

    Raises:
        BadMessageError: It can't be read.
    """
    try:
        document = orjson.loads(value)
        routes = [_decode_route(route) for route in document["routes"]]
        services = document["services"]
        return RouteTable(
            version=int(document["version"]),
            routes_by_address=MappingProxyType({r.address: r for r in routes}),
            idle_timeout=document["limits"]["idle-timeout-ms"] / MILLISECONDS,
            health_paths_by_service=MappingProxyType(
                {service["name"]: service["health-path"] for service in services}
            ),
        )
    except MALFORMED as error:
        raise BadMessageError(f"configuration can't be read: {error!r}") from error


def _decode_route(route: dict[str, Any]) -> ConnectionRoute:
    return ConnectionRoute(
        name=route["name"],
        # A route's prefix is a port between slashes.
        address=pack_service_address(route["host"], int(route["prefix"].strip("/"))),
        targets=tuple(_decode_targets(route)),
        terms=Terms(
            objective=route["target-latency-ms"] / MILLISECONDS,
            deadline=route["timeout-ms"] / MILLISECONDS,
            urgency=route["priority"],
        ),
        is_single=route["type"] == DOWNLOAD,
    )


def _decode_targets(route: dict[str, Any]) -> Iterator[Target]:
    split = route.get("traffic-split")
    if not split:
        yield Target(route["service"], 1)
        return
    for part in split:
        if part["weight"] > 0:
            yield Target(part["service"], int(part["weight"]))
