"""Tests of a follower whose store loses responses; time is simulated."""

from __future__ import annotations

import threading
from random import Random
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import pytest

from siskinshift.connections.configuration_follower import ConfigurationFollower
from siskinshift.connections.evacuation_reader import EvacuationReader
from siskinshift.platform.evacuations import decode_evacuated_domain
from siskinshift.runtime.http_client import HttpClient
from siskinshift.runtime.http_client import ResponseLostError
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import SETTINGS
from tests.connections.in_memory_store import InMemoryStore


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.evacuations import Evacuations
    from siskinshift.core.http import HttpResponse


ROUND_TRIP_SECONDS = 0.004


class _Clock:
    """Simulated time, and changes that operators make at given times."""

    def __init__(self) -> None:
        self.now = 0.0
        self.changes: list[tuple[float, Callable[[], object]]] = []

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        self.now += seconds
        while self.changes and self.changes[0][0] <= self.now:
            self.changes.pop(0)[1]()


class _Client(HttpClient):
    """A connection on which nothing arrives after a lost response."""

    def __init__(self, store: _LossyStore) -> None:
        super().__init__("127.0.0.1", 1, connect_timeout=1.0)
        self._store = store
        self._inner = InMemoryStore._new_client(store)

    def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> HttpResponse:
        store = self._store
        store.targets.append(target)
        sent_at = store.clock.now
        response = self._inner.request(method, target, body, timeout=timeout)
        if target.startswith("/kv-watch"):
            wait = float(parse_qs(target)["wait-ms"][0]) / 1000.0
            while (
                not response.body.count(b'"key"') and store.clock.now < sent_at + wait
            ):
                store.clock.advance(0.1)
                response = self._inner.request(method, target, body, timeout=timeout)
        if store.is_lost(target):
            store.clock.advance(sent_at + timeout - store.clock.now)
            raise ResponseLostError("timed out")
        store.clock.advance(ROUND_TRIP_SECONDS)
        return response


class _LossyStore(InMemoryStore):
    """A store that loses responses for a time.

    Attributes:
        clock: Simulated time.
        is_lost: Whether the response to a target is lost now.
        targets: Targets of all requests.
    """

    def __init__(self, clock: _Clock) -> None:
        self.clock = clock
        self.is_lost: Callable[[str], bool] = lambda _: False
        self.targets: list[str] = []
        super().__init__(clock)

    def _new_client(self) -> HttpClient:
        return _Client(self)


class _StopEvent(threading.Event):
    """Advances the simulated time in place of a wait."""

    def __init__(self, clock: _Clock) -> None:
        super().__init__()
        self._clock = clock

    def wait(self, timeout: float | None = None) -> bool:
        self._clock.advance(timeout or 0.0)
        return self.is_set()


class _Balancer:
    """A follower that records when it learned of each change."""

    def __init__(self) -> None:
        self.clock = _Clock()
        self.store = _LossyStore(self.clock)
        self.store.state.put("op/config", b"old")
        self.times_by_change: dict[str, float] = {}

    def follow_for(self, seconds: float) -> None:
        stopping = _StopEvent(self.clock)
        follower = ConfigurationFollower(
            store=self.store,
            prefix="op/",
            key="op/config",
            evacuations=EvacuationReader(
                prefix="op/evacuate/",
                decode_domain=decode_evacuated_domain,
                on_evacuations=self._record_evacuations,
                log=quiet_log(),
            ),
            on_configuration=lambda received: self._record(received.value.decode()),
            random=Random(1),
            log=quiet_log(),
        )
        self.clock.changes.append((seconds, stopping.set))
        self.clock.changes.sort(key=lambda change: change[0])
        follower.follow_until(stopping)

    def _record_evacuations(self, read: Evacuations) -> None:
        for domain in read.domains:
            self._record(domain)

    def _record(self, change: str) -> None:
        self.times_by_change.setdefault(change, self.clock.now)


@pytest.mark.parametrize(
    ("key", "value", "change"),
    [("op/config", b"new", "new"), ("op/evacuate/a", b"{}", "a")],
)
def test_a_change_is_known_after_the_response_to_a_watch_alone_was_lost(
    key: str, value: bytes, change: str
) -> None:
    """Guards against a watch that waits for a response which was lost.

    All other requests succeed, and the connection stays open.
    """
    balancer = _Balancer()
    balancer.clock.changes.append((10.0, lambda: balancer.store.state.put(key, value)))
    balancer.store.is_lost = lambda target: (
        target.startswith("/kv-watch") and 10.0 <= balancer.clock.now < 10.2
    )

    balancer.follow_for(60.0)

    assert balancer.times_by_change[change] <= 10.2 + SETTINGS.recovery_window


@pytest.mark.parametrize("start", [8.0, 9.0, 9.7, 10.0])
@pytest.mark.parametrize("seconds", [0.3, 2.0, 4.5, 7.0])
def test_a_change_is_known_after_a_silent_outage(start: float, seconds: float) -> None:
    """Guards against a watch that outlasts an outage of the store without responses."""
    balancer = _Balancer()
    end = start + seconds
    balancer.clock.changes.append(
        (start + seconds / 2, lambda: balancer.store.state.put("op/config", b"new"))
    )
    balancer.store.is_lost = lambda _: start <= balancer.clock.now < end

    balancer.follow_for(60.0)

    assert balancer.times_by_change["new"] <= end + SETTINGS.recovery_window


def test_a_lost_response_does_not_cause_a_read_of_everything() -> None:
    """Guards against reading a long configuration again for a late response."""
    balancer = _Balancer()
    balancer.store.is_lost = lambda target: (
        target.startswith("/kv-watch") and 10.0 <= balancer.clock.now < 13.5
    )

    balancer.follow_for(60.0)

    assert sum(target.startswith("/kv-range") for target in balancer.store.targets) == 1
