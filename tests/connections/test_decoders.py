"""Fuzz tests of the decoders: valid messages with one value replaced or removed.

`FUZZ_EXAMPLES` sets the number of examples for each test.
"""

from __future__ import annotations

import os
import threading
from http import HTTPStatus
from random import Random
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from siskinshift.connections.flow_snapshot import decode_snapshot
from siskinshift.connections.member_documents import member_document
from siskinshift.connections.member_documents import member_from_document
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_codec import encode_status
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Status
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError
from siskinshift.core.http import HttpResponse
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Put
from siskinshift.platform.configuration import decode_configuration
from siskinshift.platform.heartbeats import decode_upstream_request
from siskinshift.platform.packets import decode_from_caller
from siskinshift.platform.packets import decode_from_upstream
from siskinshift.platform.store import PlatformStore
from siskinshift.runtime.http_client import HttpClient
from siskinshift.runtime.http_server import HttpRequest
from tests.connections.builders import member
from tests.connections.in_memory_store import SETTINGS


class _FixedResponseClient(HttpClient):
    """An HTTP client that returns the same response to each request."""

    def __init__(self, body: bytes) -> None:
        super().__init__("127.0.0.1", 1, connect_timeout=1.0)
        self._body = body

    def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> HttpResponse:
        return HttpResponse(HTTPStatus.OK, self._body)


class _FixedResponseStore(PlatformStore):
    def __init__(self, body: bytes) -> None:
        self._body = body
        super().__init__(
            SETTINGS,
            stopping=threading.Event(),
            clock=lambda: 0.0,
            random=Random(1),
        )

    def _new_client(self) -> HttpClient:
        return _FixedResponseClient(self._body)


EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "300"))
HEARTBEAT = {
    "service": "editor",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmup-left-ms": 0,
    "seq": 4,
    "born": 1764727384123,
}
CONFIGURATION = {
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
            "traffic-split": [{"service": "editor", "weight": 90}],
        }
    ],
    "services": [{"name": "editor", "health-path": "/health"}],
    "limits": {"idle-timeout-ms": 15000},
}
MEMBER = member_document(member("agent-1"))
LEAVES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(1 << 63), (1 << 64) - 1),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.sampled_from(["", "7", "-1", "1e9", "ready", "0" * 300]),
)
VALUES = strategies.recursive(
    LEAVES,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=2),
        strategies.dictionaries(strategies.text(max_size=3), inner, max_size=2),
    ),
    max_leaves=4,
)


@strategies.composite
def malformed(draw: strategies.DrawFn, valid: Any) -> bytes:
    """A valid document with one value replaced or one field removed."""
    document = orjson.loads(orjson.dumps(valid))
    container = document
    while True:
        keys = (
            list(container)
            if isinstance(container, dict)
            else list(range(len(container)))
        )
        if not keys:
            break
        key = draw(strategies.sampled_from(keys))
        inner = container[key]
        if isinstance(inner, (dict, list)) and draw(strategies.booleans()):
            container = inner
            continue
        if isinstance(container, dict) and draw(strategies.booleans()):
            del container[key]
        else:
            container[key] = draw(VALUES)
        break
    return orjson.dumps(document)


@settings(max_examples=EXAMPLES)
@given(malformed(HEARTBEAT))
def test_heartbeats(body: bytes) -> None:
    request = HttpRequest("POST", "/Instances.Heartbeat/i-1", body)
    _decode_or_none(lambda: decode_upstream_request(request))


@settings(max_examples=EXAMPLES)
@given(malformed({"born": 7}))
def test_deregistrations(body: bytes) -> None:
    request = HttpRequest("POST", "/Instances.Deregister/i-1", body)
    _decode_or_none(lambda: decode_upstream_request(request))


@settings(max_examples=EXAMPLES)
@given(malformed(CONFIGURATION))
def test_configurations(value: bytes) -> None:
    table = _decode_or_none(lambda: decode_configuration(value))
    if table is None:
        return
    for route in table.routes_by_address.values():
        assert route.service_for(bytes(12))


@settings(max_examples=EXAMPLES)
@given(malformed(MEMBER))
def test_member_records(value: bytes) -> None:
    member_record = _decode_or_none(lambda: member_from_document(parse_object(value)))
    if member_record is None:
        return
    assert 0 < member_record.data.port < 1 << 16
    assert member_record.slots > 0
    assert decode_peer_message(encode_status(Status(member_record, Load()))) is not None


STATUS_KIND = encode_status(Status(member("agent-1"), Load()))[:1]


@settings(max_examples=EXAMPLES)
@given(malformed({"member": MEMBER, "flows": 1, "running": 0, "configuration": 1}))
def test_status_documents(value: bytes) -> None:
    message = decode_peer_message(STATUS_KIND + value)
    assert message is None or isinstance(message, Status)


@settings(max_examples=EXAMPLES)
@given(
    malformed({"lease": 7, "ttl-ms": 1000, "revision": 9}),
    strategies.sampled_from(["grant", "keep", "write"]),
)
def test_responses_to_leases_and_writes(body: bytes, call: str) -> None:
    store = _FixedResponseStore(body)
    try:
        if call == "grant":
            assert store.grant_lease(1.0).lease_id > 0
        elif call == "keep":
            assert store.keep_alive(7) >= 0
        else:
            assert store.transact((), (Put("k", b""),)).revision >= 0
    except (StoreUnavailableError, StoreOutcomeUnknownError):
        return


ITEM = {"key": "k", "value": "eA==", "revision": 9, "created": 9, "lease": 0}


@settings(max_examples=EXAMPLES)
@given(
    malformed(
        {"items": [ITEM], "events": [ITEM], "has-more": False, "as-of": 9},
    ),
    strategies.sampled_from(["list", "watch"]),
)
def test_responses_to_lists_and_watches(body: bytes, call: str) -> None:
    store = _FixedResponseStore(body)
    try:
        if call == "list":
            store.list_prefix("k")
        else:
            next(iter(store.watch("k", 1)))
    except StoreUnavailableError:
        return


@settings(max_examples=EXAMPLES)
@given(strategies.integers(0, 10), strategies.binary(max_size=120))
def test_peer_datagrams(kind: int, rest: bytes) -> None:
    decode_peer_message(bytes((kind,)) + rest)


@settings(max_examples=EXAMPLES)
@given(strategies.binary(max_size=100))
def test_packets_and_flow_snapshots(value: bytes) -> None:
    decode_from_caller(value)
    decode_from_upstream(value)
    for packet in decode_snapshot(value).packets:
        decode_from_caller(packet)


def test_the_largest_member_record_is_encoded() -> None:
    """Values that a decoder accepts must fit into the packed messages."""
    member_record = member("agent-1", incarnation=(1 << 53) - 1, version=(1 << 32) - 1)

    assert decode_peer_message(encode_status(Status(member_record, Load()))) is not None


def _decode_or_none(decode: Any) -> Any:
    """Decodes a message; only `BadMessageError` may be raised."""
    try:
        return decode()
    except BadMessageError:
        return None


@pytest.mark.parametrize("depth", [1, 900, 1500, 200_000])
def test_deep_nesting_raises_a_typed_error(depth: int) -> None:
    with pytest.raises(BadMessageError):
        decode_configuration(b"[" * depth + b"]" * depth)
    with pytest.raises(BadMessageError):
        decode_configuration(b'{"version":' * depth + b"1" + b"}" * depth)
