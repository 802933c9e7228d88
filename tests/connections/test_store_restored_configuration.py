"""Tests of the configuration when the store is restored from an older copy."""

from __future__ import annotations

import threading
from random import Random
from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.connections.configuration_follower import ConfigurationFollower
from siskinshift.connections.configuration_start import CONFIRMATION_SECONDS
from siskinshift.connections.configuration_start import MAX_DELAY_SECONDS
from siskinshift.connections.configuration_start import ConfigurationStart
from siskinshift.connections.evacuation_reader import EvacuationReader
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Status
from siskinshift.kv.exceptions import StoreRestoredError
from siskinshift.messages.core import Role
from siskinshift.platform.evacuations import decode_evacuated_domain
from siskinshift.standins.platform_store import PlatformStoreState
from tests.connections.builders import fleet_of
from tests.connections.builders import member
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.fleet import Fleet
    from siskinshift.connections.fleet import Peer
    from siskinshift.core.http import HttpResponse
    from siskinshift.messages.core import Member
    from siskinshift.runtime.http_client import HttpClient


KEY = "op/config"
BALANCERS = [
    member(f"balancer-{i}", role=Role.BALANCER, host=f"10.0.0.{i}") for i in (2, 3)
]


class _ScriptedStore(InMemoryStore):
    """A store in which something happens before each request; ends after the last."""

    def __init__(self, *, pause: float = 0.0) -> None:
        self.now = 0.0
        super().__init__(
            lambda: self.now, state=PlatformStoreState(lambda: self.now, era=1)
        )
        self.script: list[Callable[[], object]] = []
        self.stopping = threading.Event()
        self.values: list[bytes] = []

    def exchange(
        self,
        client: HttpClient,
        method: str,
        target: str,
        body: bytes,
        *,
        timeout: float,
    ) -> HttpResponse:
        self.now += 1.0
        if self.script:
            self.script.pop(0)()
        else:
            self.stopping.set()
        return super().exchange(client, method, target, body, timeout=timeout)

    def put(self, value: bytes) -> Callable[[], object]:
        return lambda: self.state.put(KEY, value)

    def follow(self) -> list[bytes]:
        follower = ConfigurationFollower(
            store=self,
            prefix="op/",
            key=KEY,
            evacuations=EvacuationReader(
                prefix="op/evacuate/",
                decode_domain=decode_evacuated_domain,
                on_evacuations=lambda read: None,
                log=quiet_log(),
            ),
            on_configuration=lambda received: self.values.append(received.value),
            random=Random(1),
            log=quiet_log(),
        )
        self.generations.add_listener(follower.read_again)
        follower.follow_until(self.stopping)
        return self.values


def _nothing() -> None:
    pass


def test_a_change_under_a_revision_given_out_again_is_not_skipped() -> None:
    """Guards against a watch that continues from a revision of another generation."""
    store = _ScriptedStore()
    store.script = [
        store.put(b"1"),
        store.put(b"2"),
        store.put(b"3"),
        lambda: store.state.restore(age=2.5),
        store.put(b"2 again"),
        store.put(b"4"),
        _nothing,
    ]

    values = store.follow()

    assert values[:3] == [b"1", b"2", b"3"]
    assert values[-2:] == [b"2 again", b"4"]


def test_a_waiting_watch_of_a_lower_store_ends() -> None:
    """Guards against a watch that waits for a revision which the store lost (410)."""
    store = _ScriptedStore()
    store.script = [
        store.put(b"1"),
        *[store.put(b"2")] * 5,
        lambda: store.state.restore(age=100.0),
        _nothing,
        store.put(b"3"),
        _nothing,
    ]

    assert store.follow()[-1] == b"3"


def test_a_watch_delivers_nothing_of_a_later_generation() -> None:
    """Guards against changes that are applied under the earlier generation."""
    store = _ScriptedStore()
    store.script = [_nothing] * 9
    revision = store.list_prefix("op/").revision
    watch = iter(store.watch("op/", revision + 1, store.generation))
    next(watch)
    store.state.restore(age=0.0)
    store.put(b"1")()

    with pytest.raises(StoreRestoredError):
        next(watch)


def test_another_connection_ends_a_watch() -> None:
    """Guards against 28 s on a watch while other requests know of the restore."""
    store = _ScriptedStore()
    store.script = [_nothing] * 9
    revision = store.list_prefix("op/").revision
    watch = iter(store.watch("op/", revision + 1, store.generation))
    next(watch)
    store.state.restore(age=1.0)
    store.get("x")
    before = store.state.request_counts_by_path["kv-watch"]

    with pytest.raises(StoreRestoredError):
        next(watch)
    assert store.state.request_counts_by_path["kv-watch"] == before


def _hear(
    fleet: Fleet, version: int, *, now: float, balancer: Member = BALANCERS[0]
) -> None:
    status = Status(attrs.evolve(balancer), Load(), version)
    fleet.handle_status(status, now=now)


def _take(
    start: ConfigurationStart[str], fetched: list[Peer], *, now: float
) -> str | None:
    return start.take(is_fetching=False, fetch=fetched.append, now=now)


def test_a_start_takes_the_newest_configuration_of_a_peer_first() -> None:
    """Guards against first flows that are placed by a restored configuration."""
    fleet = fleet_of()
    fleet.apply_registrations(BALANCERS, now=0.0)
    start: ConfigurationStart[str] = ConfigurationStart(fleet)
    fetched: list[Peer] = []
    start.hold("old", version=1, now=0.0)
    assert _take(start, fetched, now=0.01) is None

    _hear(fleet, 9, now=0.02)
    assert _take(start, fetched, now=CONFIRMATION_SECONDS + 0.01) is None
    assert [peer.member.member_id for peer in fetched] == ["balancer-2"]
    # The one of the peer is in force.
    assert start.release(peer_version=9) is None
    assert _take(start, fetched, now=MAX_DELAY_SECONDS + 1.0) is None


def test_a_start_without_peers_is_not_delayed() -> None:
    """Guards against a fleet that waits for itself after a loss of power."""
    start: ConfigurationStart[str] = ConfigurationStart(fleet_of())
    start.hold("new", version=1, now=0.0)

    assert _take(start, [], now=0.0) == "new"


def test_a_newer_configuration_of_the_store_is_applied() -> None:
    """Guards against a dropped configuration that no watch delivers again."""
    fleet = fleet_of()
    fleet.apply_registrations(BALANCERS[:1], now=0.0)
    start: ConfigurationStart[str] = ConfigurationStart(fleet)
    fetched: list[Peer] = []
    _hear(fleet, 9, now=0.0)
    start.hold("v10", version=10, now=0.0)
    start.hold("v8", version=8, now=0.0)

    assert _take(start, fetched, now=CONFIRMATION_SECONDS) == "v10"
    assert not fetched
    start.hold("v10", version=10, now=0.0)
    assert start.release(peer_version=9) == "v10"
    assert not start.is_holding


def test_a_failed_fetch_is_followed_by_one_from_the_next_peer() -> None:
    """Guards against a restored configuration after one peer that did not reply."""
    fleet = fleet_of()
    fleet.apply_registrations(BALANCERS, now=0.0)
    start: ConfigurationStart[str] = ConfigurationStart(fleet)
    fetched: list[Peer] = []
    _hear(fleet, 9, now=0.0)
    _hear(fleet, 8, now=0.0, balancer=BALANCERS[1])
    start.hold("v7", version=7, now=0.0)

    assert _take(start, fetched, now=0.0) is None
    assert _take(start, fetched, now=0.1) is None
    assert [peer.member.member_id for peer in fetched] == ["balancer-2", "balancer-3"]
    assert _take(start, fetched, now=0.2) == "v7"


def test_a_start_with_silent_peers_ends() -> None:
    """Guards against a balancer that waits for peers which are gone, or a fetch."""
    fleet = fleet_of()
    fleet.apply_registrations(BALANCERS, now=0.0)
    start: ConfigurationStart[str] = ConfigurationStart(fleet)
    start.hold("old", version=1, now=0.0)

    assert _take(start, [], now=CONFIRMATION_SECONDS - 0.01) is None
    assert _take(start, [], now=CONFIRMATION_SECONDS) == "old"
    start.hold("old", version=1, now=0.0)
    taken = start.take(is_fetching=True, fetch=lambda _: None, now=MAX_DELAY_SECONDS)
    assert taken == "old"
