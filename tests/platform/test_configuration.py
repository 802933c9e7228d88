"""Tests of decoding the operators' configuration."""

from __future__ import annotations

import json
from typing import Any

import attrs
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies

from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_codec import encode_forward
from siskinshift.connections.peer_codec import encode_peer_heartbeat
from siskinshift.connections.peer_codec import encode_service_policy
from siskinshift.connections.peer_codec import encode_warm_up_rate
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import PeerHeartbeat
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.peer_messages import WarmUpRate
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.routes import Target
from siskinshift.connections.routes import service_tag
from siskinshift.connections.segment import pack_service_address
from siskinshift.connections.urgencies import routes_with_fitting_urgencies
from siskinshift.control.exceptions import BadMessageError
from siskinshift.platform.configuration import KINDS_BY_TYPE
from siskinshift.platform.configuration import decode_configuration


def _document() -> dict[str, Any]:
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": "198.18.0.1",
                "prefix": "/8443/",
                "type": "idempotent",
                "timeout-ms": 500,
                "target-latency-ms": 100,
                "priority": 2,
                "traffic-split": [
                    {"service": "editor", "weight": 90},
                    {"service": "dossiers", "weight": 0},
                ],
            },
            {
                "name": "r-2",
                "host": "198.18.0.2",
                "prefix": "/80/",
                "type": "download",
                "timeout-ms": 3000,
                "target-latency-ms": 500,
                "priority": 1,
                "service": "dossiers",
            },
        ],
        "services": [{"name": "editor", "health-path": "/health"}],
        "limits": {"idle-timeout-ms": 15000},
    }


def test_routes_are_found_by_address() -> None:
    table = decode_configuration(orjson.dumps(_document()))

    assert table.version == 7
    assert table.idle_timeout == 15.0
    split = table.routes_by_address[pack_service_address("198.18.0.1", 8443)]
    assert split.targets == (Target("editor", 90),)
    assert split.request_parameters == RequestParameters(
        objective=0.1, deadline=0.5, urgency=2
    )
    assert not split.is_single_request
    single = table.routes_by_address[pack_service_address("198.18.0.2", 80)]
    assert single.targets == (Target("dossiers", 1),)
    assert single.is_single_request


def test_flows_are_split_by_weight() -> None:
    document = _document()
    document["routes"][0]["traffic-split"][1]["weight"] = 10
    table = decode_configuration(orjson.dumps(document))
    split = table.routes_by_address[pack_service_address("198.18.0.1", 8443)]

    services = [split.service_for(number.to_bytes(12, "big")) for number in range(5000)]

    assert 0.08 < services.count("dossiers") / len(services) < 0.12


@given(strategies.binary(max_size=60))
def test_any_bytes_are_refused_with_one_kind_of_error(value: bytes) -> None:
    with pytest.raises(BadMessageError):
        decode_configuration(value)


@pytest.mark.parametrize("field", ["version", "routes", "services", "limits"])
def test_a_missing_field_is_refused(field: str) -> None:
    document = _document()
    del document[field]

    with pytest.raises(BadMessageError):
        decode_configuration(orjson.dumps(document))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("version", "7"),
        ("version", True),
        ("version", 7.5),
        ("version", 1 << 53),
        ("routes", {}),
        ("routes", [7]),
        ("services", [{"name": 7, "health-path": "/"}]),
        ("limits", {"idle-timeout-ms": "15000"}),
    ],
)
def test_a_field_of_another_type_is_refused(field: str, value: object) -> None:
    document = {**_document(), field: value}

    with pytest.raises(BadMessageError):
        decode_configuration(orjson.dumps(document))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("host", "a-name"),
        ("prefix", "/70000/"),
        ("prefix", "/-1/"),
        ("prefix", 8443),
        ("timeout-ms", "500"),
        ("timeout-ms", True),
        ("timeout-ms", -1),
        ("priority", 1.5),
        ("priority", False),
        ("type", None),
        ("traffic-split", [{"service": "editor", "weight": True}]),
        ("traffic-split", [{"service": "editor", "weight": 0}]),
        ("traffic-split", "editor"),
    ],
)
def test_a_malformed_route_refuses_the_configuration(field: str, value: object) -> None:
    """Guards against a new version that is applied although one route is malformed.

    A split without any weight was accepted, and the first opening packet to it caused a
    division by zero.
    """
    document = _document()
    document["routes"][0][field] = value

    with pytest.raises(BadMessageError):
        decode_configuration(orjson.dumps(document))


def test_a_warm_up_rate_of_zero_is_no_limit() -> None:
    """Guards against a rate of 0 that is treated as a limit of zero."""
    document = _document()
    document["services"] = [
        {"name": "editor", "health-path": "/health", "warmup-per-s": 12.5},
        {"name": "dossiers", "health-path": "/health", "warmup-per-s": 0.0},
        {"name": "plans", "health-path": "/health"},
    ]

    table = decode_configuration(orjson.dumps(document))

    assert dict(table.warm_up_rates_by_service) == {"editor": 12.5}


@pytest.mark.parametrize("rate", ["1", True, -1.0, None])
def test_an_invalid_warm_up_rate_refuses_the_configuration(rate: object) -> None:
    document = _document()
    document["services"][0]["warmup-per-s"] = rate

    with pytest.raises(BadMessageError):
        decode_configuration(orjson.dumps(document))


NAMES = strategies.text(strategies.characters(exclude_categories=["Cs"]), max_size=400)
INTEGERS = strategies.integers(0, (1 << 53) - 1)
NUMBERS = INTEGERS | strategies.floats(0, allow_infinity=False)
ROUTES = strategies.fixed_dictionaries(
    {
        "name": NAMES,
        "host": strategies.ip_addresses(v=4).map(str),
        "prefix": strategies.integers(1, 65535).map(lambda port: f"/{port}/"),
        "type": strategies.sampled_from([*KINDS_BY_TYPE, "another"]),
        "timeout-ms": NUMBERS,
        "target-latency-ms": NUMBERS,
        "priority": INTEGERS,
        "attempts": INTEGERS,
    }
)
TARGETS = strategies.fixed_dictionaries(
    {"service": NAMES, "weight": strategies.integers(1, (1 << 53) - 1)}
)
ROUTES_TO_SERVICES = strategies.builds(
    lambda route, service: {**route, "service": service}, ROUTES, NAMES
)
SPLIT_ROUTES = strategies.builds(
    lambda route, targets: {**route, "traffic-split": targets},
    ROUTES,
    strategies.lists(TARGETS, min_size=1, max_size=3),
)
SERVICES = strategies.fixed_dictionaries(
    {"name": NAMES, "health-path": NAMES},
    optional={"max-conns": INTEGERS, "warmup-per-s": NUMBERS},
)
CONFIGURATIONS = strategies.fixed_dictionaries(
    {
        "version": INTEGERS,
        "routes": strategies.lists(
            ROUTES_TO_SERVICES | SPLIT_ROUTES, min_size=1, max_size=20
        ),
        "services": strategies.lists(SERVICES, max_size=3),
        "limits": strategies.fixed_dictionaries({"idle-timeout-ms": NUMBERS}),
    }
)


@given(CONFIGURATIONS)
def test_each_valid_configuration_is_served(document: dict[str, Any]) -> None:
    """Guards against a valid version that balancers or agents cannot handle.

    A refused version would leave the one before in force; a value that does not fit
    into a message would leave a route without service.
    """
    table = routes_with_fitting_urgencies(
        decode_configuration(json.dumps(document).encode())
    )

    assert table.version == document["version"]
    for route in table.routes_by_address.values():
        service_id = route.service_for(bytes(12))
        message = encode_forward(
            Purpose.OPEN,
            service_tag(service_id),
            b"packet",
            attrs.evolve(route.request_parameters, kind=route.kind),
        )
        forward = decode_peer_message(message)
        assert isinstance(forward, Forward)
        assert forward.service_tag == service_tag(service_id)
        assert forward.request_parameters.kind is route.kind
        assert forward.request_parameters.urgency == route.request_parameters.urgency
    for rate in table.warm_up_rates_by_service.values():
        assert decode_peer_message(encode_warm_up_rate(WarmUpRate(rate)))
    for limit in table.max_connections_by_service.values():
        policy = ServicePolicy(max_connections=limit)
        assert decode_peer_message(encode_service_policy(policy)) == policy
    heartbeat = PeerHeartbeat(1, 1, Load(), table.version, 1.0)
    assert decode_peer_message(encode_peer_heartbeat(heartbeat)) == heartbeat


def test_a_long_idle_timeout_is_accepted() -> None:
    """Guards against a version that is refused for one long duration."""
    document = _document()
    document["limits"]["idle-timeout-ms"] = 172_800_000

    assert decode_configuration(orjson.dumps(document)).version == 7
