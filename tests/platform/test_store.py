"""Tests of PlatformStore against a stand-in on loopback."""

from __future__ import annotations

import contextlib
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest
from attrs import evolve

from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Delete
from siskinshift.kv.port import Put
from siskinshift.messages.core import Endpoint
from siskinshift.platform.store import CALL_TIMEOUT_SECONDS
from siskinshift.platform.store import PlatformStore
from siskinshift.standins.platform_store import FIRST_REVISION
from siskinshift.standins.platform_store import PAGE_ITEMS
from tests.connections.deployment import WAIT_SECONDS
from tests.connections.in_memory_store import SETTINGS
from tests.soak.proxy import LOOPBACK
from tests.soak.proxy import LinkFault
from tests.soak.proxy import StoreProxy


if TYPE_CHECKING:
    from siskinshift.standins.platform_store import PlatformStoreServer


def test_a_written_entry_is_read(store: PlatformStore) -> None:
    assert store.get("a/1") is None
    result = store.transact((), (Put("a/1", b"\x00value"), Put("a/2", b"")))

    entry = store.get("a/1")
    assert result.succeeded
    assert entry is not None
    assert entry.value == b"\x00value"
    assert store.revision_of("a/2") == result.revision
    assert [e.key for e in store.list_prefix("a/").entries] == ["a/1", "a/2"]
    assert len(store.list_prefix_stale("a/").entries) == 2


def test_a_condition_that_fails_changes_nothing(store: PlatformStore) -> None:
    store.transact((), (Put("a", b"1"),))

    result = store.transact((Compare("a", 0),), (Delete("a"),))

    assert not result.succeeded
    assert store.get("a") is not None


def test_a_failed_condition_returns_the_current_revisions(store: PlatformStore) -> None:
    written = store.transact((), (Put("a", b"1"), Put("b", b"2")))

    result = store.transact((Compare("a", 0), Compare("c", 0)), (Delete("b"),))

    assert result.revisions_by_key == {"a": written.revision, "c": 0}


def test_all_pages_are_read(store: PlatformStore, server: PlatformStoreServer) -> None:
    for number in range(PAGE_ITEMS + 3):
        server.put(f"a/{number:04}", b"x")

    assert len(store.list_prefix("a/").entries) == PAGE_ITEMS + 3


def test_a_lease_removes_its_keys(store: PlatformStore) -> None:
    lease = store.grant_lease(5.0)
    store.transact((), (Put("a", b"1", lease.lease_id),))
    assert store.keep_alive(lease.lease_id) == 5.0

    store.revoke_lease(lease.lease_id)

    assert store.get("a") is None
    assert store.keep_alive(lease.lease_id) == 0.0
    with pytest.raises(StoreUnavailableError):
        store.transact((), (Put("a", b"1", lease.lease_id),))


def test_a_watch_yields_changes_in_order(
    store: PlatformStore, server: PlatformStoreServer
) -> None:
    server.put("a", b"1")
    entry = store.get("a")
    assert entry is not None
    watch = iter(store.watch("a", entry.revision + 1))
    server.put("a", b"2")
    server.put("b", b"other prefix")
    server.put("a", b"3")

    batch = next(watch)
    assert [e.value for e in batch.entries] == [b"2", b"3"]
    store.transact((), (Delete("a"),))
    assert next(watch).deleted_keys == ("a",)


def test_a_watch_with_a_lost_response_fails(
    store: PlatformStore, server: PlatformStoreServer
) -> None:
    """Guards against a watch that waits on a connection without a response."""
    server.state.faults.lose_watch_responses = 1
    server.put("a", b"1")

    with pytest.raises(StoreUnavailableError):
        next(iter(store.watch("a", FIRST_REVISION + 1)))
    again = next(iter(store.watch("a", FIRST_REVISION + 1)))
    assert [e.value for e in again.entries] == [b"1"]


def test_a_watch_of_compacted_revisions_raises_an_error(
    store: PlatformStore, server: PlatformStoreServer
) -> None:
    server.put("a", b"1")
    server.state.compact()

    with pytest.raises(StoreCompactedError):
        next(iter(store.watch("a", 1)))


def test_a_write_with_a_lost_response_has_an_unknown_outcome(
    store: PlatformStore, server: PlatformStoreServer
) -> None:
    """Guards against a known outcome for a write whose response is lost.

    A client that treats it as failed would write again with another condition; one that
    treats it as successful may be wrong as well.
    """
    store.get("a")
    server.state.faults.lose_responses = 1

    with pytest.raises(StoreOutcomeUnknownError):
        store.transact((), (Put("a", b"1"),))

    assert store.get("a") is not None


@pytest.mark.parametrize("status", [429, 503])
def test_refused_requests_open_the_breaker(
    store: PlatformStore, server: PlatformStoreServer, status: int
) -> None:
    server.state.faults.rejection_status = status
    for _ in range(6):
        with pytest.raises(StoreUnavailableError):
            store.get("a")

    # Three consecutive failures open it; the other requests do not reach the store.
    assert server.state.request_counts_by_path["kv-key"] == 3


def test_a_store_is_used_again_after_an_outage(
    store: PlatformStore, server: PlatformStoreServer
) -> None:
    server.state.faults.rejection_status = 503
    with pytest.raises(StoreUnavailableError):
        store.get("a")
    server.state.faults.rejection_status = 0

    assert store.get("a") is None


def test_a_long_read_does_not_delay_the_lease_renewal(
    server: PlatformStoreServer,
) -> None:
    """Guards against a lease that expires while a long configuration is read.

    At a start or after a compaction, reading takes seconds on a slow link. The renewal
    waited on the same connection, so a 6 s lease expired, and with it the entry by
    which starting nodes find this one.
    """
    server.put("op/config", b"x" * 300_000)
    proxy = StoreProxy(server.port, thin_bytes_per_second=30_000.0)
    proxy.set_fault(LinkFault.THIN)
    slow_store = PlatformStore(
        evolve(SETTINGS, endpoint=Endpoint(LOOPBACK, proxy.port)),
        stopping=threading.Event(),
    )
    lease = slow_store.grant_lease(6.0)
    with ThreadPoolExecutor(1) as executor:
        read = executor.submit(slow_store.list_prefix, "op/config")
        deadline = time.monotonic() + WAIT_SECONDS
        while slow_store.transfer.is_complete and time.monotonic() < deadline:
            time.sleep(0.01)

        assert slow_store.keep_alive(lease.lease_id) == 6.0
        assert not read.done()

        proxy.stop()
    slow_store.close()


def test_the_timeout_grows_after_requests_without_response(
    server: PlatformStoreServer,
) -> None:
    """Guards against a node that never reaches a store behind a saturated link.

    Responses took slightly longer than the timeout. Each request and its connection
    were aborted just before the response arrived, although the store answered them all.
    """
    server.state.faults.latency = CALL_TIMEOUT_SECONDS * 1.5
    server.put("a", b"1")
    store = PlatformStore(
        evolve(SETTINGS, endpoint=Endpoint(LOOPBACK, server.port)),
        stopping=threading.Event(),
    )
    deadline = time.monotonic() + WAIT_SECONDS
    entry = None
    while entry is None and time.monotonic() < deadline:
        with contextlib.suppress(StoreUnavailableError):
            entry = store.get("a")

    assert entry is not None
    store.close()
