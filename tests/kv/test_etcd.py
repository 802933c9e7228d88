"""Tests of EtcdStore against the stand-in and against malformed responses."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinshift.kv.etcd import EtcdStore
from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Delete
from siskinshift.kv.port import Put
from siskinshift.messages.core import Endpoint
from siskinshift.standins.kv import KvStandIn
from siskinshift.standins.kv_state import MAX_VALUE_SIZE
from siskinshift.standins.kv_state import KvState
from tests.kv.fakes import FakeClock
from tests.kv.fakes import make_settings
from tests.kv.fakes import make_store


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


STORE_ERRORS = (StoreUnavailableError, StoreOutcomeUnknownError)
CALLS: dict[str, Callable[[EtcdStore], object]] = {
    "get": lambda store: store.get("key"),
    "list": lambda store: store.list_prefix("key"),
    "transact": lambda store: store.transact((), (Put("key", b""),)),
    "grant": lambda store: store.grant_lease(5.0),
    "keep": lambda store: store.keep_alive(1),
    "watch": lambda store: list(store.watch("key", 1)),
}


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def state(clock: FakeClock) -> KvState:
    return KvState(clock)


@pytest.fixture
def store(state: KvState, clock: FakeClock) -> EtcdStore:
    return make_store(state, clock)


@pytest.fixture
def stand_in() -> Iterator[KvStandIn]:
    stand_in = KvStandIn(Endpoint("127.0.0.1", 0))
    stand_in.start()
    yield stand_in
    stand_in.stop()


def _socket_store(stand_in: KvStandIn) -> EtcdStore:
    port = stand_in.endpoint.port
    text = f"[kv]\nendpoints = 127.0.0.1:{port}\ntimeout = 0.3\nwatch_interval = 1\n"
    return EtcdStore(make_settings(text).kv)


def test_a_transaction_is_atomic(store: EtcdStore) -> None:
    first = store.transact((Compare("a", 0),), (Put("a", b"1"), Put("b", b"2")))
    second = store.transact((Compare("a", 0),), (Put("a", b"3"), Delete("b")))

    assert (first.succeeded, second.succeeded) == (True, False)
    entries = store.list_prefix("a").entries
    assert [(e.key, e.value, e.revision) for e in entries] == [
        ("a", b"1", first.revision)
    ]
    assert store.revision_of("b") == first.revision
    assert store.get("c") is None


def test_a_key_expires_with_its_lease(store: EtcdStore, clock: FakeClock) -> None:
    lease = store.grant_lease(5.0)
    store.transact((), (Put("slot", b"me", lease.lease_id),))
    clock.now += 4
    kept = store.keep_alive(lease.lease_id)
    clock.now += 4
    held = store.get("slot")
    clock.now += 2

    assert kept == 5.0
    assert held is not None
    assert store.get("slot") is None
    assert store.keep_alive(lease.lease_id) == 0.0


def test_a_watch_of_compacted_revisions_raises_an_error(
    store: EtcdStore, state: KvState
) -> None:
    store.transact((), (Put("key", b"1"),))
    state.compact()

    with pytest.raises(StoreCompactedError):
        list(store.watch("key", 1))


def test_a_value_over_a_megabyte_is_refused_with_a_known_outcome(
    store: EtcdStore,
) -> None:
    with pytest.raises(StoreUnavailableError):
        store.transact((), (Put("key", b"x" * (MAX_VALUE_SIZE + 3)),))

    assert store.get("key") is None


def test_a_rate_limited_write_has_a_known_outcome(
    store: EtcdStore, state: KvState
) -> None:
    state.faults.requests_per_second = 1
    store.get("key")

    with pytest.raises(StoreUnavailableError):
        store.transact((), (Put("key", b""),))


def test_a_write_with_a_lost_response_has_an_unknown_outcome(
    store: EtcdStore, state: KvState
) -> None:
    state.faults.lose_write_responses = 1

    with pytest.raises(StoreOutcomeUnknownError):
        store.transact((), (Put("key", b"1"),))

    assert store.get("key") is not None


@pytest.mark.parametrize("name", CALLS)
def test_an_outage_raises_a_store_error(
    name: str, store: EtcdStore, state: KvState
) -> None:
    state.faults.down = True

    with pytest.raises(STORE_ERRORS):
        CALLS[name](store)


_NUMBERS = st.one_of(st.integers().map(str), st.text(max_size=5), st.none())
_ENTRY = st.dictionaries(
    st.sampled_from(["key", "value", "mod_revision"]),
    st.one_of(
        _NUMBERS, st.binary(max_size=5).map(lambda b: base64.b64encode(b).decode())
    ),
)
_JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(-(1 << 63), 1 << 63), st.text()),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=6,
)
_EVENT = st.one_of(_JSON, st.fixed_dictionaries({"kv": st.one_of(_ENTRY, _JSON)}))
_RESULT = st.fixed_dictionaries(
    {},
    optional={
        "header": st.one_of(_JSON, st.fixed_dictionaries({"revision": _NUMBERS})),
        "kvs": st.one_of(_JSON, st.lists(_ENTRY, max_size=2)),
        "succeeded": _JSON,
        "ID": _NUMBERS,
        "TTL": _NUMBERS,
        "events": st.one_of(_JSON, st.lists(_EVENT, max_size=2)),
        "canceled": _JSON,
        "compact_revision": _NUMBERS,
    },
)
_RESPONSES = st.one_of(
    st.binary(max_size=40),
    st.one_of(_JSON, _RESULT, st.fixed_dictionaries({"result": _RESULT})).map(
        orjson.dumps
    ),
)


@given(name=st.sampled_from(sorted(CALLS)), garbage=_RESPONSES)
def test_malformed_responses_raise_only_store_errors(name: str, garbage: bytes) -> None:
    state = KvState(FakeClock())
    state.faults.garbage = garbage
    store = make_store(state, FakeClock())

    try:
        CALLS[name](store)
    except STORE_ERRORS:
        return


def test_a_slow_store_is_unavailable_after_the_timeout(stand_in: KvStandIn) -> None:
    stand_in.faults.latency = 1.0

    with pytest.raises(StoreUnavailableError):
        _socket_store(stand_in).get("key")


def test_a_response_lost_on_the_network_has_an_unknown_outcome(
    stand_in: KvStandIn,
) -> None:
    stand_in.faults.lose_write_responses = 1
    store = _socket_store(stand_in)

    with pytest.raises(StoreOutcomeUnknownError):
        store.transact((), (Put("key", b"1"),))

    entry = store.get("key")
    assert entry is not None
    assert entry.value == b"1"


def test_a_watch_yields_changes_and_ends_at_its_idle_timeout(
    stand_in: KvStandIn,
) -> None:
    store = _socket_store(stand_in)
    first = store.transact((), (Put("key/1", b"1"),))
    watch = store.watch("key/", first.revision)
    store.transact((), (Put("key/2", b"2"), Put("other", b"")))
    store.transact((), (Delete("key/1"),))

    batches = [batch for batch in watch if batch.entries or batch.deleted_keys]

    assert [e.key for batch in batches for e in batch.entries] == ["key/1", "key/2"]
    assert [key for batch in batches for key in batch.deleted_keys] == ["key/1"]
    assert stand_in.request_counts_by_path()["/v3/watch"] == 1


def test_a_stopped_store_is_unavailable(stand_in: KvStandIn) -> None:
    store = _socket_store(stand_in)
    stand_in.stop()

    with pytest.raises(StoreUnavailableError):
        store.transact((), (Put("key", b"1"),))
