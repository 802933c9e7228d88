"""Rate limit and circuit breaker for requests to the key-value service.

The service is small and shared: its rate limits grow more slowly than the fleet, and it
has outages. Without a guard, the retries of the fleet would prolong an outage.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Protocol

from attrs import frozen


if TYPE_CHECKING:
    from random import Random


# A single lost request is normal; three in a row indicate an outage.
FAILURE_THRESHOLD = 3
# Short enough to use a recovered store again within seconds.
MIN_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 5.0
# Fraction of the burst that is reserved for operators, who wait for the response.
OPERATOR_RESERVE_FRACTION = 0.25


class CallRates(Protocol):
    """The rate settings of a store client."""

    @property
    def call_rate(self) -> float:
        """Average rate limit, requests/s."""

    @property
    def call_burst(self) -> int:
        """Maximum burst, requests."""


class CallClass(StrEnum):
    """Priority class of a request."""

    OPERATOR = "operator"
    BACKGROUND = "background"


class Admission(StrEnum):
    """Result of admission control for a request."""

    ADMITTED = "admitted"
    OVER_BUDGET = "call budget used up"
    CIRCUIT_OPEN = "circuit breaker open"


@frozen
class Backoff:
    """Exponential backoff with jitter.

    The jitter prevents processes that failed together from retrying together.

    Attributes:
        minimum: Upper bound of the first delay, seconds.
        maximum: Upper bound of all delays, seconds.
    """

    minimum: float
    maximum: float

    def delay(self, failures: int, random: Random) -> float:
        """Draws the delay after some consecutive failures.

        Args:
            failures: Consecutive failures, 1 or more.
            random: Source of the jitter.

        Returns:
            Seconds, from half the current bound to the bound.
        """
        # The exponent is capped: 2 ** failures overflows during a long outage.
        bound = min(self.maximum, self.minimum * 2.0 ** min(failures - 1, 16))
        return bound * random.uniform(0.5, 1.0)


class TokenBucket:
    """A token bucket rate limiter."""

    def __init__(self, *, rate: float, burst: float) -> None:
        """Initializes a full bucket.

        Args:
            rate: Tokens per second.
            burst: Maximum number of tokens.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = float("-inf")

    def try_consume(self, *, now: float, reserve: float = 0.0) -> bool:
        """Consumes a token if that leaves the reserve untouched.

        Args:
            now: Clock reading, seconds.
            reserve: Tokens to leave in the bucket.

        Returns:
            Whether a token was consumed.
        """
        refilled = max(0.0, now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refilled)
        self._refilled_at = now
        if self._tokens < 1 + reserve:
            return False
        self._tokens -= 1
        return True


class CallGuard:
    """Rate limit and circuit breaker of one process.

    During an outage or with a slow store, each request would otherwise occupy a thread
    for the whole timeout, and the recovering store would receive all retries at once.
    An open breaker admits one probe after a jittered delay.
    """

    def __init__(
        self,
        settings: CallRates,
        *,
        random: Random,
        max_open_seconds: float = MAX_OPEN_SECONDS,
    ) -> None:
        """Initializes a closed breaker.

        Args:
            settings: Rate limits.
            random: Source of jitter.
            max_open_seconds: Maximum time without a probe, seconds.
        """
        self._bucket = TokenBucket(
            rate=settings.call_rate, burst=float(settings.call_burst)
        )
        # A burst of one token has no room for a reserve.
        self._reserve = (settings.call_burst - 1) * OPERATOR_RESERVE_FRACTION
        self._random = random
        self._max_open_seconds = max_open_seconds
        self._backoff = Backoff(
            min(MIN_OPEN_SECONDS, max_open_seconds), max_open_seconds
        )
        self._failures = 0
        self._open_until = float("-inf")

    @property
    def is_healthy(self) -> bool:
        """Whether the last request succeeded; True before the first one."""
        return self._failures == 0

    def admit(self, call_class: CallClass, *, now: float) -> Admission:
        """Decides whether a request may be sent.

        Args:
            call_class: Its priority class.
            now: Clock reading, seconds.

        Returns:
            ADMITTED, or the reason for the rejection.
        """
        if now < self._open_until:
            return Admission.CIRCUIT_OPEN
        reserve = self._reserve if call_class is CallClass.BACKGROUND else 0.0
        if not self._bucket.try_consume(now=now, reserve=reserve):
            return Admission.OVER_BUDGET
        if self._failures >= FAILURE_THRESHOLD:
            # This request is the probe; others are rejected until it completes.
            self._open_until = now + self._max_open_seconds
        return Admission.ADMITTED

    def record_success(self) -> None:
        """Records a successful request and closes the breaker."""
        self._failures = 0
        self._open_until = float("-inf")

    def record_failure(self, *, now: float) -> None:
        """Records a failed request.

        Args:
            now: Clock reading, seconds.
        """
        self._failures += 1
        if self._failures < FAILURE_THRESHOLD:
            return
        open_count = self._failures - FAILURE_THRESHOLD + 1
        self._open_until = now + self._backoff.delay(open_count, self._random)
