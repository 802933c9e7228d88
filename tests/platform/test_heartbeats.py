"""Tests of decoding upstreams' requests."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies

from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.upstream_state import Deregistration
from siskinshift.connections.upstream_state import Heartbeat
from siskinshift.control.exceptions import BadMessageError
from siskinshift.platform.heartbeats import decode_upstream_request
from siskinshift.runtime.http_server import HttpRequest


BODY = (
    b'{"service":"huvo11a","address":"10.128.0.9:8080","zone":"boa-viagem",'
    b'"version":"v1","capacity":3,"state":"draining","warmup-left-ms":500,"seq":4}'
)


def test_a_heartbeat_is_decoded() -> None:
    request = HttpRequest("POST", "/Instances.Heartbeat/i-7f3a91c2", BODY)

    assert decode_upstream_request(request) == Heartbeat(
        Incarnation("i-7f3a91c2"), "huvo11a", 4, 3, is_leaving=True, cold_seconds=0.5
    )


def test_the_start_time_is_part_of_the_incarnation() -> None:
    body = BODY[:-1] + b',"born":1764727384123}'
    request = HttpRequest("POST", "/Instances.Heartbeat/i-7f3a91c2", body)
    deregistration = HttpRequest(
        "POST", "/Instances.Deregister/i-7f3a91c2", b'{"born":7}'
    )

    heartbeat = decode_upstream_request(request)
    assert isinstance(heartbeat, Heartbeat)
    assert heartbeat.incarnation == Incarnation("i-7f3a91c2", 1764727384123)
    assert decode_upstream_request(deregistration) == Deregistration(
        Incarnation("i-7f3a91c2", 7)
    )


def test_a_deregistration_is_decoded() -> None:
    request = HttpRequest("POST", "/Instances.Deregister/i-7f3a91c2", b"")

    assert decode_upstream_request(request) == Deregistration(Incarnation("i-7f3a91c2"))


def test_other_requests_are_ignored() -> None:
    assert (
        decode_upstream_request(HttpRequest("GET", "/Instances.Heartbeat/i", b""))
        is None
    )
    assert decode_upstream_request(HttpRequest("POST", "/else", BODY)) is None


@given(strategies.binary(max_size=80))
def test_a_body_that_is_no_heartbeat_is_refused(body: bytes) -> None:
    with pytest.raises(BadMessageError):
        decode_upstream_request(HttpRequest("POST", "/Instances.Heartbeat/i", body))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", 7),
        ("service", None),
        ("service", ""),
        ("service", ["huvo11a"]),
        ("capacity", "3"),
        ("capacity", True),
        ("capacity", 2.5),
        ("capacity", 0),
        ("capacity", -1),
        ("capacity", 1 << 60),
        ("state", "asleep"),
        ("state", None),
        ("state", True),
        ("warmup-left-ms", "0"),
        ("warmup-left-ms", False),
        ("warmup-left-ms", -1),
        ("warmup-left-ms", 1e300),
        ("seq", "4"),
        ("seq", True),
        ("seq", 4.0),
        ("seq", -4),
        ("born", "1764727384123"),
        ("born", None),
        ("born", 1.5),
        ("born", True),
    ],
)
def test_a_field_of_another_type_is_refused(field: str, value: object) -> None:
    """Guards against a lenient decoder.

    A heartbeat of another client had a number as text or an unknown state: "3" became
    three slots, an unknown state meant ready, and a text that is not a number became an
    upstream that did not exist.
    """
    document = {**orjson.loads(BODY), field: value}
    request = HttpRequest("POST", "/Instances.Heartbeat/i", orjson.dumps(document))

    with pytest.raises(BadMessageError, match=field):
        decode_upstream_request(request)


@pytest.mark.parametrize(
    "field", ["service", "capacity", "state", "warmup-left-ms", "seq"]
)
def test_a_missing_field_is_refused(field: str) -> None:
    document = orjson.loads(BODY)
    del document[field]
    request = HttpRequest("POST", "/Instances.Heartbeat/i", orjson.dumps(document))

    with pytest.raises(BadMessageError, match=field):
        decode_upstream_request(request)


@pytest.mark.parametrize("body", [b"[" * 100_000, b"\xff", b"7", b"{}", b"null"])
def test_a_body_that_is_not_an_object_is_refused(body: bytes) -> None:
    for kind in ("Heartbeat", "Deregister"):
        request = HttpRequest("POST", f"/Instances.{kind}/i", body)
        if kind == "Deregister" and body == b"{}":
            continue
        with pytest.raises(BadMessageError):
            decode_upstream_request(request)
