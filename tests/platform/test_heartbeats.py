"""Tests of upstreams' calls."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies

from siskinshift.connections.upstream_life import Heartbeat
from siskinshift.control.exceptions import BadMessageError
from siskinshift.platform.heartbeats import EndNotice
from siskinshift.platform.heartbeats import decode_upstream_call
from siskinshift.runtime.http_server import HttpRequest


BODY = (
    b'{"service":"huvo11a","address":"10.128.0.9:8080","zone":"boa-viagem",'
    b'"version":"v1","capacity":3,"state":"draining","warmup-left-ms":500,"seq":4}'
)


def test_a_heartbeat_is_decoded() -> None:
    request = HttpRequest("POST", "/Instances.Heartbeat/i-7f3a91c2", BODY)

    assert decode_upstream_call(request) == Heartbeat(
        "i-7f3a91c2", "huvo11a", 4, 3, is_leaving=True, cold_seconds=0.5
    )


def test_an_end_is_decoded() -> None:
    request = HttpRequest("POST", "/Instances.Deregister/i-7f3a91c2", b"")

    assert decode_upstream_call(request) == EndNotice("i-7f3a91c2")


def test_other_calls_are_not_taken() -> None:
    assert (
        decode_upstream_call(HttpRequest("GET", "/Instances.Heartbeat/i", b"")) is None
    )
    assert decode_upstream_call(HttpRequest("POST", "/else", BODY)) is None


@given(strategies.binary(max_size=80))
def test_a_body_that_is_no_heartbeat_is_refused(body: bytes) -> None:
    with pytest.raises(BadMessageError):
        decode_upstream_call(HttpRequest("POST", "/Instances.Heartbeat/i", body))
