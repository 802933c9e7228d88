"""Decides whether a call to the key-value service may be made now.

The service is small and shared: its rates grow more slowly than the fleet, and it
has outages. Without a guard a fleet that waits for it would keep it down.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Protocol

from attrs import frozen


if TYPE_CHECKING:
    from random import Random


# Three in a row: one lost call is ordinary, three are an outage.
FAILURES_TO_OPEN = 3
# Short enough that a store which is back is used again within seconds.
OPEN_SECONDS_MINIMUM = 0.5
OPEN_SECONDS_MAXIMUM = 5.0
# A quarter of the burst is kept for operators, who wait for their answer.
OPERATORS_PART = 0.25


class CallRates(Protocol):
    """Settings of a store's client that the guard needs."""

    @property
    def call_rate(self) -> float:
        """Calls a second on average."""

    @property
    def call_burst(self) -> int:
        """Calls at once."""


class CallClass(StrEnum):
    """Who waits for a call."""

    OPERATOR = "operator"
    BACKGROUND = "background"


class Admission(StrEnum):
    """Answer to a call that asks to be made."""

    ADMITTED = "admitted"
    OVER_BUDGET = "call budget used up"
    CIRCUIT_OPEN = "circuit breaker open"


@frozen
class Backoff:
    """Exponential back-off with jitter.

    Jitter, because processes that failed together must not come back together.

    Attributes:
        minimum: Longest first pause, seconds.
        maximum: Longest pause of all, seconds.
    """

    minimum: float
    maximum: float

    def delay(self, failures: int, random: Random) -> float:
        """Draws the pause after some failures in a row.

        Args:
            failures: Failures so far, 1 or more.
            random: Source of the jitter.

        Returns:
            Seconds, from half the bound to the bound.
        """
        # The exponent is capped: 2 ** failures overflows during a long outage.
        bound = min(self.maximum, self.minimum * 2.0 ** min(failures - 1, 16))
        return bound * random.uniform(0.5, 1.0)


class TokenBucket:
    """A rate with a burst."""

    def __init__(self, *, rate: float, burst: float) -> None:
        """Starts full.

        Args:
            rate: Tokens a second.
            burst: Most tokens held.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = float("-inf")

    def take(self, *, now: float, reserve: float = 0.0) -> bool:
        """Takes a token unless that would go into the reserve.

        Args:
            now: Clock reading, seconds.
            reserve: Tokens to leave for others.

        Returns:
            Whether one was taken.
        """
        grown = max(0.0, now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + grown)
        self._filled_at = now
        if self._tokens < 1 + reserve:
            return False
        self._tokens -= 1
        return True


class CallGuard:
    """Call budget and circuit breaker of one process.

    Pattern of load: an outage or a slow store. Without the breaker each caller holds a
    thread for the whole time-out and the store meets the sum of all retries when it
    comes back. While open it lets one probe through after a jittered pause.
    """

    def __init__(
        self,
        settings: CallRates,
        *,
        random: Random,
        open_maximum: float = OPEN_SECONDS_MAXIMUM,
    ) -> None:
        """Starts closed.

        Args:
            settings: Rates.
            random: Source of jitter.
            open_maximum: Longest time without a probe, seconds.
        """
        self._bucket = TokenBucket(
            rate=settings.call_rate, burst=float(settings.call_burst)
        )
        # A burst of one token has no room for a reserve.
        self._reserve = (settings.call_burst - 1) * OPERATORS_PART
        self._random = random
        self._open_maximum = open_maximum
        self._backoff = Backoff(min(OPEN_SECONDS_MINIMUM, open_maximum), open_maximum)
        self._failures = 0
        self._open_until = float("-inf")

    @property
    def healthy(self) -> bool:
        """Whether the last call was answered well; True before the first one."""
        return self._failures == 0

    def admit(self, call_class: CallClass, *, now: float) -> Admission:
        """Decides on a call.

        Args:
            call_class: Who waits for it.
            now: Clock reading, seconds.

        Returns:
            ADMITTED, or why not.
        """
        if now < self._open_until:
            return Admission.CIRCUIT_OPEN
        reserve = self._reserve if call_class is CallClass.BACKGROUND else 0.0
        if not self._bucket.take(now=now, reserve=reserve):
            return Admission.OVER_BUDGET
        if self._failures >= FAILURES_TO_OPEN:
            # This call is the probe; others wait for its end.
            self._open_until = now + self._open_maximum
        return Admission.ADMITTED

    def succeeded(self) -> None:
        """Takes note of a good answer: closes the breaker."""
        self._failures = 0
        self._open_until = float("-inf")

    def failed(self, *, now: float) -> None:
        """Takes note of a call without a good answer.

        Args:
            now: Clock reading, seconds.
        """
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return
        openings = self._failures - FAILURES_TO_OPEN + 1
        self._open_until = now + self._backoff.delay(openings, self._random)
