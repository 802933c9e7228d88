"""Counts of good and bad events over sliding windows, in bounded memory."""

from __future__ import annotations

from array import array

from attrs import frozen


MINUTE_SECONDS = 60.0
HOUR_SECONDS = 3600.0
RETAINED_MINUTES = 6 * 60
RETAINED_HOURS = 3 * 24


@frozen
class Window:
    """A time window that ends now.

    Attributes:
        name: Short name, such as "5m".
        seconds: Length of the window.
    """

    name: str
    seconds: float


FIVE_MINUTES = Window("5m", 300.0)
HALF_HOUR = Window("30m", 1800.0)
HOUR = Window("1h", 3600.0)
SIX_HOURS = Window("6h", 21600.0)
THREE_DAYS = Window("3d", 259200.0)
WINDOWS = (FIVE_MINUTES, HALF_HOUR, HOUR, SIX_HOURS, THREE_DAYS)


@frozen
class EventCounts:
    """Counts of good and bad events of one objective.

    Attributes:
        good: Events that meet the objective.
        bad: Events that miss it.
    """

    good: float
    bad: float

    def plus(self, other: EventCounts) -> EventCounts:
        """Adds the counts of another process.

        Args:
            other: Counts of the other process.

        Returns:
            The sum.
        """
        return EventCounts(self.good + other.good, self.bad + other.bad)


class _RingBuffer:
    """Ring buffer of the counts of the last intervals of equal length."""

    def __init__(self, *, interval_seconds: float, size: int) -> None:
        self._interval_seconds = interval_seconds
        self._size = size
        self._good = array("d", [0.0]) * size
        self._bad = array("d", [0.0]) * size
        self._newest_interval: int | None = None

    def add(self, good: float, bad: float, now: float) -> None:
        index = self._advance(now) % self._size
        self._good[index] += good
        self._bad[index] += bad

    def totals(self, seconds: float, now: float) -> EventCounts:
        newest_interval = self._advance(now)
        count = min(self._size, max(1, round(seconds / self._interval_seconds)))
        indexes = [(newest_interval - age) % self._size for age in range(count)]
        good = sum(self._good[index] for index in indexes)
        bad = sum(self._bad[index] for index in indexes)
        return EventCounts(good, bad)

    def _advance(self, now: float) -> int:
        interval = int(now // self._interval_seconds)
        if self._newest_interval is None:
            self._newest_interval = interval
        steps = min(self._size, max(0, interval - self._newest_interval))
        for step in range(1, steps + 1):
            index = (interval - steps + step) % self._size
            self._good[index] = 0.0
            self._bad[index] = 0.0
        self._newest_interval = max(self._newest_interval, interval)
        return self._newest_interval


class WindowedCounts:
    """Counts the events of one objective, in about 7 KB at any event rate."""

    def __init__(self) -> None:
        self._minutes = _RingBuffer(
            interval_seconds=MINUTE_SECONDS, size=RETAINED_MINUTES
        )
        self._hours = _RingBuffer(interval_seconds=HOUR_SECONDS, size=RETAINED_HOURS)

    def add(self, *, good: float = 0.0, bad: float = 0.0, now: float) -> None:
        """Adds events to the current interval.

        Args:
            good: Events that meet the objective.
            bad: Events that miss it.
            now: Clock reading, seconds.
        """
        self._minutes.add(good, bad, now)
        self._hours.add(good, bad, now)

    def totals(self, window: Window, *, now: float) -> EventCounts:
        """Sums the events of a window, in steps of one minute, or one hour above 6 h.

        Args:
            window: The window.
            now: Clock reading, seconds.

        Returns:
            The counts of the window.
        """
        if window.seconds <= RETAINED_MINUTES * MINUTE_SECONDS:
            return self._minutes.totals(window.seconds, now)
        return self._hours.totals(window.seconds, now)
