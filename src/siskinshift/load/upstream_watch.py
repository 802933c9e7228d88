"""Detection of a slow or sick upstream from what the agent itself sees.

Pattern: an upstream ten times slower than its peers, or one that fails everything, and
health and load endpoints that say all is well (they lag or mislead). Without it a fast
failing upstream looks idle and draws the most work, and a slow one holds its callers'
requests in its queue while peers have free slots.

Slow: the mean slot time is over three times the peers' median. Factors under two arise
from chance and long work alone. Sick: eight failures in a row; at a failure rate of one
in four that happens by chance once in 65,000 requests. A sick upstream gets one request
a second to show that it is well. When more than half of a service looks sick the cause
is most likely shared (the network, the detector), so the detection is doubted and work
goes to all (panic threshold): an upstream that may fail is better than none.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.messages.load import UsageSum
    from siskinshift.settings.generated import LoadSettings


SICK_AFTER_FAILURES = 8
PROBE_INTERVAL_SECONDS = 1.0
# Weight of a new slot time in the mean: about the last ten requests count.
SLOT_TIME_GAIN = 0.1
SLOT_TIME_SAMPLES_MINIMUM = 5


class UpstreamWatch:
    """Judges the agent's own upstream.

    Attributes:
        slot_time: Mean time of a request in its slot, seconds; 0 before the first.
    """

    def __init__(self, settings: LoadSettings) -> None:
        self._slow_factor = settings.slow_factor
        self._panic_part = settings.panic_part
        self._failures_in_a_row = 0
        self._samples = 0
        self._probed_at = float("-inf")
        self.slot_time = 0.0

    def answered(self, slot_time: float) -> None:
        """Takes a good answer.

        Args:
            slot_time: Seconds that the request was in its slot.
        """
        self._failures_in_a_row = 0
        self._samples += 1
        if self._samples == 1:
            self.slot_time = slot_time
            return
        gain = max(SLOT_TIME_GAIN, 1 / self._samples)
        self.slot_time += gain * (slot_time - self.slot_time)

    def failed(self) -> None:
        """Takes a failure of the upstream."""
        self._failures_in_a_row += 1

    @property
    def looks_sick(self) -> bool:
        """Whether the upstream fails everything, whatever its peers do."""
        return self._failures_in_a_row >= SICK_AFTER_FAILURES

    def is_sick(self, peers: Sequence[UsageSum]) -> bool:
        """Says whether the upstream should get no work.

        Args:
            peers: Recent sums of the peers.

        Returns:
            True when it looks sick and most of its peers don't.
        """
        if not self.looks_sick:
            return False
        sick = 1 + sum(peer.sick for peer in peers)
        return sick <= self._panic_part * (1 + len(peers))

    def may_start(self, peers: Sequence[UsageSum], *, now: float) -> bool:
        """Says whether a request may be offered to the upstream now.

        Args:
            peers: Recent sums of the peers.
            now: Clock reading, seconds.

        Returns:
            True for a well upstream, and once a second for a sick one.
        """
        if not self.is_sick(peers):
            return True
        return now - self._probed_at >= PROBE_INTERVAL_SECONDS

    def started(self, *, now: float) -> None:
        """Takes note of a start, so that probes of a sick upstream are paced.

        Args:
            now: Clock reading, seconds.
        """
        self._probed_at = now

    def is_slow(self, peers: Sequence[UsageSum]) -> bool:
        """Says whether the upstream is much slower than its peers.

        Args:
            peers: Recent sums of the peers.

        Returns:
            True when its slot time is over the factor times their median.
        """
        known = [peer.slot_time for peer in peers if peer.slot_time > 0]
        if not known or self._samples < SLOT_TIME_SAMPLES_MINIMUM:
            return False
        return self.slot_time > self._slow_factor * median(known)
