"""Valid messages with one value of another type, at each decoder of the platform path.

The seeded part runs with every test; `FUZZ_EXAMPLES` raises the number of examples.
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
from siskinshift.control.documents import parse_table
from siskinshift.control.exceptions import BadMessageError
from siskinshift.core.http import HttpAnswer
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Put
from siskinshift.platform.configuration import decode_configuration
from siskinshift.platform.heartbeats import decode_upstream_call
from siskinshift.platform.packets import decode_from_caller
from siskinshift.platform.packets import decode_from_upstream
from siskinshift.platform.store import PlatformStore
from siskinshift.runtime.http_client import HttpClient
from siskinshift.runtime.http_server import HttpRequest
from tests.connections.builders import member
from tests.connections.in_memory_store import SETTINGS


class _AnsweringClient(HttpClient):
    """A connection to a store that gives one answer to each call."""

    def __init__(self, body: bytes) -> None:
        super().__init__("127.0.0.1", 1, connect_timeout=1.0)
        self._body = body

    def call(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> HttpAnswer:
        return HttpAnswer(HTTPStatus.OK, self._body)


class _AnsweringStore(PlatformStore):
    def __init__(self, body: bytes) -> None:
        self._body = body
        super().__init__(
            SETTINGS,
            stopping=threading.Event(),
            clock=lambda: 0.0,
            random=Random(1),
        )

    def _new_client(self) -> HttpClient:
        return _AnsweringClient(self._body)


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
def confused(draw: strategies.DrawFn, valid: Any) -> bytes:
    """A valid document with one value replaced or one field removed."""
    document = orjson.loads(orjson.dumps(valid))
    place = document
    while True:
        keys = list(place) if isinstance(place, dict) else list(range(len(place)))
        if not keys:
            break
        key = draw(strategies.sampled_from(keys))
        inner = place[key]
        if isinstance(inner, (dict, list)) and draw(strategies.booleans()):
            place = inner
            continue
        if isinstance(place, dict) and draw(strategies.booleans()):
            del place[key]
        else:
            place[key] = draw(VALUES)
        break
    return orjson.dumps(document)


@settings(max_examples=EXAMPLES)
@given(confused(HEARTBEAT))
def test_heartbeats(body: bytes) -> None:
    call = HttpRequest("POST", "/Instances.Heartbeat/i-1", body)
    _decode_or_refuse(lambda: decode_upstream_call(call))


@settings(max_examples=EXAMPLES)
@given(confused({"born": 7}))
def test_ends(body: bytes) -> None:
    call = HttpRequest("POST", "/Instances.Deregister/i-1", body)
    _decode_or_refuse(lambda: decode_upstream_call(call))


@settings(max_examples=EXAMPLES)
@given(confused(CONFIGURATION))
def test_configurations(value: bytes) -> None:
    table = _decode_or_refuse(lambda: decode_configuration(value))
    if table is None:
        return
    for route in table.routes_by_address.values():
        assert route.service_for(bytes(12))


@settings(max_examples=EXAMPLES)
@given(confused(MEMBER))
def test_member_records(value: bytes) -> None:
    known = _decode_or_refuse(lambda: member_from_document(parse_table(value)))
    if known is None:
        return
    assert 0 < known.data.port < 1 << 16
    assert known.slots > 0
    assert decode_peer_message(encode_status(Status(known, Load()))) is not None


STATUS_KIND = encode_status(Status(member("agent-1"), Load()))[:1]


@settings(max_examples=EXAMPLES)
@given(confused({"member": MEMBER, "flows": 1, "running": 0, "configuration": 1}))
def test_documents_between_nodes(value: bytes) -> None:
    message = decode_peer_message(STATUS_KIND + value)
    assert message is None or isinstance(message, Status)


@settings(max_examples=EXAMPLES)
@given(
    confused({"lease": 7, "ttl-ms": 1000, "revision": 9}),
    strategies.sampled_from(["grant", "keep", "write"]),
)
def test_answers_about_leases_and_writes(body: bytes, call: str) -> None:
    store = _AnsweringStore(body)
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
    confused(
        {"items": [ITEM], "events": [ITEM], "has-more": False, "as-of": 9},
    ),
    strategies.sampled_from(["list", "watch"]),
)
def test_readings_and_watches(body: bytes, call: str) -> None:
    store = _AnsweringStore(body)
    try:
        if call == "list":
            store.list_prefix("k")
        else:
            next(iter(store.watch("k", 1)))
    except StoreUnavailableError:
        return


@settings(max_examples=EXAMPLES)
@given(strategies.integers(0, 10), strategies.binary(max_size=120))
def test_datagrams_between_nodes(kind: int, rest: bytes) -> None:
    decode_peer_message(bytes((kind,)) + rest)


@settings(max_examples=EXAMPLES)
@given(strategies.binary(max_size=100))
def test_packets_and_lists_of_them(value: bytes) -> None:
    decode_from_caller(value)
    decode_from_upstream(value)
    for packet in decode_snapshot(value).packets:
        decode_from_caller(packet)


def test_a_record_for_the_wire_is_whole() -> None:
    """Fields that a decoder takes must fit into the packed messages."""
    known = member("agent-1", incarnation=(1 << 53) - 1, version=(1 << 32) - 1)

    assert decode_peer_message(encode_status(Status(known, Load()))) is not None


def _decode_or_refuse(decode: Any) -> Any:
    """No exception but the decoders' own may leave them."""
    try:
        return decode()
    except BadMessageError:
        return None


@pytest.mark.parametrize("depth", [1, 900, 1500, 200_000])
def test_deep_nesting_ends_in_the_typed_error(depth: int) -> None:
    with pytest.raises(BadMessageError):
        decode_configuration(b"[" * depth + b"]" * depth)
    with pytest.raises(BadMessageError):
        decode_configuration(b'{"version":' * depth + b"1" + b"}" * depth)
