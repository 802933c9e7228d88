"""Tests of decoding the operators' configuration."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies

from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.routes import Target
from siskinshift.connections.segment import pack_service_address
from siskinshift.control.exceptions import BadMessageError
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
        ("version", 1 << 40),
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


@pytest.mark.parametrize("rate", ["1", True, -1.0, 1e9, None])
def test_an_invalid_warm_up_rate_refuses_the_configuration(rate: object) -> None:
    document = _document()
    document["services"][0]["warmup-per-s"] = rate

    with pytest.raises(BadMessageError):
        decode_configuration(orjson.dumps(document))
