"""Counts of good and bad events over sliding windows, in bounded memory."""

from __future__ import annotations

from array import array

from attrs import frozen


MINUTE_SECONDS = 60.0
HOUR_SECONDS = 3600.0
MINUTES_KEPT = 6 * 60
HOURS_KEPT = 3 * 24


@frozen
class Window:
    """A span that ends now.

    Attributes:
        name: Short name, such as "5m".
        seconds: Length of the span.
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
    """Events of one objective.

    Attributes:
        good: Events that meet the objective.
        bad: Events that miss it.
    """

    good: float
    bad: float

    def plus(self, other: EventCounts) -> EventCounts:
        """Adds counts of another process.

        Args:
            other: Its counts.

        Returns:
            The sum.
        """
        return EventCounts(self.good + other.good, self.bad + other.bad)


class _Ring:
    """Sums for each of the last spans of equal length."""

    def __init__(self, *, span: float, size: int) -> None:
        self._span = span
        self._size = size
        self._good = array("d", [0.0]) * size
        self._bad = array("d", [0.0]) * size
        self._newest: int | None = None

    def add(self, good: float, bad: float, now: float) -> None:
        index = self._advance(now) % self._size
        self._good[index] += good
        self._bad[index] += bad

    def totals(self, seconds: float, now: float) -> EventCounts:
        newest = self._advance(now)
        spans = min(self._size, max(1, round(seconds / self._span)))
        indexes = [(newest - back) % self._size for back in range(spans)]
        good = sum(self._good[index] for index in indexes)
        bad = sum(self._bad[index] for index in indexes)
        return EventCounts(good, bad)

    def _advance(self, now: float) -> int:
        number = int(now // self._span)
        if self._newest is None:
            self._newest = number
        steps = min(self._size, max(0, number - self._newest))
        for step in range(1, steps + 1):
            index = (number - steps + step) % self._size
            self._good[index] = 0.0
            self._bad[index] = 0.0
        self._newest = max(self._newest, number)
        return self._newest


class WindowedCounts:
    """Counts one objective; about 7 KB whatever the rate of events."""

    def __init__(self) -> None:
        self._minutes = _Ring(span=MINUTE_SECONDS, size=MINUTES_KEPT)
        self._hours = _Ring(span=HOUR_SECONDS, size=HOURS_KEPT)

    def add(self, *, good: float = 0.0, bad: float = 0.0, now: float) -> None:
        """Counts events.

        Args:
            good: Events that meet the objective.
            bad: Events that miss it.
            now: Clock reading, seconds.
        """
        self._minutes.add(good, bad, now)
        self._hours.add(good, bad, now)

    def totals(self, window: Window, *, now: float) -> EventCounts:
        """Sums a window; exact to one minute, or to one hour beyond six hours.

        Args:
            window: The window.
            now: Clock reading, seconds.

        Returns:
            Its counts.
        """
        if window.seconds <= MINUTES_KEPT * MINUTE_SECONDS:
            return self._minutes.totals(window.seconds, now)
        return self._hours.totals(window.seconds, now)
