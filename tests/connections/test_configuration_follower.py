"""Tests of how a balancer follows the configuration in the store."""

from __future__ import annotations

import threading
from random import Random
from typing import TYPE_CHECKING

from siskinshift.connections.configuration_follower import ConfigurationFollower
from siskinshift.connections.evacuation_reader import EvacuationReader
from siskinshift.platform.evacuations import decode_evacuated_domain
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


if TYPE_CHECKING:
    from siskinshift.connections.evacuations import Evacuations
    from siskinshift.core.http import HttpResponse
    from siskinshift.runtime.http_client import HttpClient


# A follower that continues after this many requests has missed the expected value.
MAX_CALLS = 1000


class _BoundedStore(InMemoryStore):
    """A store that fails a follower which would otherwise wait forever."""

    def exchange(
        self,
        client: HttpClient,
        method: str,
        target: str,
        body: bytes,
        *,
        timeout: float,
    ) -> HttpResponse:
        assert self.state.request_counts_by_path.total() < MAX_CALLS
        return super().exchange(client, method, target, body, timeout=timeout)


class _Balancer:
    """A follower with a store, which stops when it has read a given value."""

    def __init__(self) -> None:
        self.store = _BoundedStore(lambda: 0.0)
        self.stopping = threading.Event()
        self.values: list[bytes] = []
        self.last = b""
        self.on_value = self._on_value
        self.evacuations: list[Evacuations] = []
        self.on_evacuations = self.evacuations.append

    def follow_until(self, last: bytes) -> list[bytes]:
        """Follows until a value is read; returns all values."""
        self.last = last
        follower = ConfigurationFollower(
            store=self.store,
            prefix="op/",
            key="op/config",
            evacuations=EvacuationReader(
                prefix="op/evacuate/",
                decode_domain=decode_evacuated_domain,
                on_evacuations=lambda read: self.on_evacuations(read),
                log=quiet_log(),
            ),
            on_configuration=lambda received: self.on_value(received.value),
            random=Random(1),
            log=quiet_log(),
        )
        follower.follow_until(self.stopping)
        return self.values

    def _on_value(self, value: bytes) -> None:
        self.values.append(value)
        if value == self.last:
            self.stopping.set()
        elif value == b"1":
            # A change right after the first read; other keys must be ignored.
            self.store.state.put("op/config-other", b"no")
            self.store.state.put("op/config", b"2")


def test_the_first_value_and_each_change_are_read_in_order() -> None:
    balancer = _Balancer()
    balancer.store.state.put("op/config", b"1")

    assert balancer.follow_until(b"2") == [b"1", b"2"]


def test_a_configuration_written_after_the_start_is_watched_for() -> None:
    """Guards against polling by nodes that start before there is a configuration.

    Polling cost six requests a second for the whole fleet; a watch costs one.
    """
    balancer = _Balancer()
    balancer.on_evacuations = lambda _: balancer.store.state.put("op/config", b"9")

    assert balancer.follow_until(b"9") == [b"9"]
    assert balancer.store.state.request_counts_by_path["kv-range"] == 1


def test_a_compacted_history_is_read_again() -> None:
    """Guards against a compaction between the read and the watch."""
    balancer = _Balancer()
    balancer.store.state.put("op/config", b"0")
    compact = balancer.store.state.compact
    list_prefix = balancer.store.list_prefix

    def read_and_compact(prefix: str) -> object:
        snapshot = list_prefix(prefix)
        balancer.store.state.put("op/config", b"3")
        compact()
        balancer.store.list_prefix = list_prefix  # type: ignore[method-assign]
        return snapshot

    balancer.store.list_prefix = read_and_compact  # type: ignore[assignment, method-assign]

    assert balancer.follow_until(b"3")[-1] == b"3"


def test_a_balancer_that_falls_behind_reads_only_the_newest() -> None:
    """Guards against changes that arrive faster than a slow link carries them.

    While a balancer read all missed versions, more were written than it had read, and
    callers had no bandwidth. It needs only the newest version.
    """
    balancer = _Balancer()
    balancer.store.state.put("op/config", b"1")
    written = iter([b"2", b"3", b"4", b"5", b"6", b"7"])

    def write_as_it_reads(value: bytes) -> None:
        balancer.values.append(value)
        for newer in (next(written, b""), next(written, b""), next(written, b"")):
            if newer:
                balancer.store.state.put("op/config", newer)
        if value == b"7":
            balancer.stopping.set()

    balancer.on_value = write_as_it_reads

    assert balancer.follow_until(b"7") == [b"1", b"4", b"7"]
    # A watch would return each version in between in full.
    assert balancer.store.state.request_counts_by_path["kv-range"] == 2


def test_evacuations_share_the_watch_of_the_configuration() -> None:
    """Guards against a second pending watch of each balancer."""
    balancer = _Balancer()
    state = balancer.store.state
    state.put("op/config", b"1")
    state.put("op/evacuate/a", b"{}")
    domains = []

    def record(read: Evacuations) -> None:
        domains.append(set(read.domains))
        if len(domains) == 1:
            state.put("op/evacuate/b", b"{}")
        elif len(domains) == 2:
            state.revoke("op/evacuate/a")
        else:
            balancer.stopping.set()

    balancer.on_evacuations = record
    balancer.on_value = lambda value: None
    balancer.follow_until(b"never")

    assert domains == [{"a"}, {"a", "b"}, {"b"}]
    assert state.request_counts_by_path["kv-range"] == 1


def test_a_domain_evacuated_again_within_one_batch_is_read_again() -> None:
    """Guards against a removal and a write whose order a watch does not contain."""
    balancer = _Balancer()
    state = balancer.store.state
    state.put("op/evacuate/a", b"{}")
    domains = []

    def record(read: Evacuations) -> None:
        domains.append(set(read.domains))
        if len(domains) == 1:
            state.revoke("op/evacuate/a")
            state.put("op/evacuate/a", b"{}")
            state.revoke("op/evacuate/a")
        else:
            balancer.stopping.set()

    balancer.on_evacuations = record
    balancer.follow_until(b"never")

    assert domains == [{"a"}, set()]
