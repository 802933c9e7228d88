"""Records the events of a process that count towards service-level objectives."""

from __future__ import annotations

import threading
from enum import StrEnum
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.messages.core import OutcomeKind
from siskinshift.objectives.windows import WINDOWS
from siskinshift.objectives.windows import EventCounts
from siskinshift.objectives.windows import Window
from siskinshift.objectives.windows import WindowedCounts


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.settings.generated import ObjectivesSettings


# Bounds the memory: a service record may name many groups.
MAX_SERIES = 512
OTHER_GROUPS = "(other)"


class ObjectiveKind(StrEnum):
    """Kind of a recorded series, as exported in metrics."""

    UNBROKEN_FLOWS = "unbroken_flows"
    ANSWERED_IN_TIME = "answered_in_time"
    SLOT_SECONDS = "slot_seconds"


@frozen
class SeriesKey:
    """Identifies one series of counts.

    Attributes:
        kind: Quantity that is counted.
        service_id: Service that the series belongs to.
        group_id: Group that the series belongs to; empty if it has none.
    """

    kind: ObjectiveKind
    service_id: str
    group_id: str = ""


@frozen
class SeriesSample:
    """Counts of one series over one window.

    Attributes:
        key: The series.
        window: The window.
        counts: Good and bad events.
    """

    key: SeriesKey
    window: Window
    counts: EventCounts


class ObjectiveRecorder:
    """Counts flows, requests and slot time; safe to share between threads.

    A rejected request counts as bad for `ANSWERED_IN_TIME`, since its caller received
    no response. A request that its caller cancelled counts neither as good nor as bad.
    """

    def __init__(self, settings: ObjectivesSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._counts_by_key: dict[SeriesKey, WindowedCounts] = {}

    def record_flow(self, service_id: str, *, broken: bool, now: float) -> None:
        """Records the end of a flow.

        Args:
            service_id: Service of the flow.
            broken: Whether it ended before its caller closed it.
            now: Clock reading, seconds.
        """
        key = SeriesKey(ObjectiveKind.UNBROKEN_FLOWS, service_id)
        self._add(key, is_good=not broken, now=now)

    def record_request(
        self,
        service_id: str,
        group_id: str,
        *,
        outcome: OutcomeKind,
        seconds: float,
        now: float,
    ) -> None:
        """Records the end of a request.

        Args:
            service_id: Service of the request.
            group_id: Group of the request.
            outcome: Outcome of the request.
            seconds: Time from arrival to the last byte of the response.
            now: Clock reading, seconds.
        """
        in_time = seconds <= self._settings.time_limit
        is_good = outcome is OutcomeKind.ANSWERED and in_time
        key = SeriesKey(ObjectiveKind.ANSWERED_IN_TIME, service_id, group_id)
        self._add(key, is_good=is_good, now=now)

    def record_slot_time(self, service_id: str, *, seconds: float, now: float) -> None:
        """Records the busy time of the upstream's slots.

        Args:
            service_id: Service of the request.
            seconds: Busy seconds of one slot.
            now: Clock reading, seconds.
        """
        key = SeriesKey(ObjectiveKind.SLOT_SECONDS, service_id)
        with self._lock:
            self._series(key).add(good=seconds, now=now)

    def samples(self, *, now: float) -> Iterator[SeriesSample]:
        """Yields the counts of all series over all windows.

        Args:
            now: Clock reading, seconds.

        Yields:
            A sample for each series and window.
        """
        with self._lock:
            samples = [
                SeriesSample(key, window, counts.totals(window, now=now))
                for key, counts in self._counts_by_key.items()
                for window in WINDOWS
            ]
        yield from samples

    def _add(self, key: SeriesKey, *, is_good: bool, now: float) -> None:
        with self._lock:
            self._series(key).add(good=is_good, bad=not is_good, now=now)

    def _series(self, key: SeriesKey) -> WindowedCounts:
        existing = self._counts_by_key.get(key)
        if existing is not None:
            return existing
        if len(self._counts_by_key) >= MAX_SERIES:
            key = SeriesKey(key.kind, key.service_id, OTHER_GROUPS)
        return self._counts_by_key.setdefault(key, WindowedCounts())
