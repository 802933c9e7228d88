"""Tests of how the generation of a store is learned from its responses."""

from __future__ import annotations

import pytest

from siskinshift.kv.generations import GENERATION_HEADER
from siskinshift.kv.generations import UNKNOWN_GENERATION
from siskinshift.kv.generations import GenerationTracker
from siskinshift.kv.generations import StorePosition
from siskinshift.observability.event_log import EventLog
from siskinshift.observability.logs import ComponentLog
from siskinshift.observability.logs import LogValue
from siskinshift.standins.kv_state import KvState
from tests.kv.fakes import FakeClock
from tests.kv.fakes import make_store


def _tracker() -> tuple[GenerationTracker, EventLog]:
    log = EventLog(process="test", clock=lambda: 0.0)
    return GenerationTracker(log=log), log


def _observe(tracker: GenerationTracker, value: str | None) -> int | None:
    headers = {} if value is None else {GENERATION_HEADER: value}
    return tracker.observe(headers, sent_in=tracker.current)


def _lines(log: EventLog, event: str) -> str:
    lines = log.metrics.render().splitlines()
    return "".join(line.split()[-1] for line in lines if f'"{event}"' in line)


@pytest.mark.parametrize("value", [None, "", "-1", "3.0", "four", "9" * 40, "2"])
def test_a_faulty_value_changes_nothing_and_is_logged_once(value: str | None) -> None:
    """Guards against a broken header that ends all leases of the fleet."""
    tracker, log = _tracker()
    _observe(tracker, "3")

    assert [_observe(tracker, value) for _ in range(5)] == [3] * 5
    assert _lines(log, "store generation refused") == "1"


def test_an_etcd_store_logs_a_faulty_generation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a faulty header that no log line shows."""
    faults: list[LogValue] = []

    def record(key: str, message: str, **fields: LogValue) -> None:
        faults.append(fields["reason"])

    monkeypatch.setattr(ComponentLog, "repeated", lambda log, *a, **k: record(*a, **k))
    clock = FakeClock()
    state = KvState(clock, era=3)
    store = make_store(state, clock)
    store.get("x")
    state.era = 2

    store.get("x")
    store.get("x")

    assert faults == ["falling"]


def test_only_a_change_after_another_response_is_a_restore() -> None:
    """Guards against nodes that put back their entries at each start."""
    tracker, log = _tracker()
    calls: list[int] = []
    tracker.add_listener(lambda: calls.append(tracker.current))
    _observe(tracker, "7")
    _observe(tracker, "7")
    assert calls == []

    _observe(tracker, "8")

    assert calls == [8]
    assert _lines(log, "store restored") == "1"


def test_a_header_that_appears_later_is_a_restore() -> None:
    """Guards against leases that are kept if only a restored store has the header."""
    tracker, _ = _tracker()
    calls: list[int] = []
    tracker.add_listener(lambda: calls.append(tracker.current))
    assert _observe(tracker, None) == UNKNOWN_GENERATION

    _observe(tracker, "1")

    assert calls == [1]


def test_a_response_that_a_restore_overtook_is_obsolete() -> None:
    """Guards against entries of the old generation under the new one's number."""
    tracker, _ = _tracker()
    _observe(tracker, "1")
    _observe(tracker, "2")

    assert tracker.observe({GENERATION_HEADER: "1"}, sent_in=1) is None
    assert tracker.current == 2


def test_positions_without_a_generation_are_ordered_by_revision() -> None:
    assert StorePosition(revision=4) < StorePosition(revision=5)
    assert StorePosition(revision=9) < StorePosition(0, 1) < StorePosition(1, 0)
