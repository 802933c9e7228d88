"""Passive detection of a slow or unhealthy upstream (outlier detection).

An upstream's health and load endpoints lag or mislead. Without detection an upstream
that fails fast looks idle and attracts the most requests, and one that is ten times
slower than its peers keeps its callers' requests in its queue while peers have free
slots.

An upstream is slow if its mean slot time is over three times the median of its peers;
factors under two arise from chance and long requests alone. It is unhealthy after eight
consecutive failures, which at a failure rate of one in four happen by chance once in
65,000 requests. It then gets one request a second as a probe. If more than half of a
service looks unhealthy, the cause is most likely shared (the network, the detector), so
all upstreams get requests (panic threshold): one that may fail is better than none.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.messages.load import UsageSum
    from siskinshift.settings.generated import LoadSettings


UNHEALTHY_AFTER_FAILURES = 8
PROBE_INTERVAL_SECONDS = 1.0
# Weight of a new slot time in the moving average, which spans about ten requests.
SLOT_TIME_EWMA_WEIGHT = 0.1
MIN_SLOT_TIME_SAMPLES = 5


class UpstreamHealth:
    """Tracks the health of the agent's own upstream.

    Attributes:
        slot_time: Mean time of a request in its slot, seconds; 0 before the first.
    """

    def __init__(self, settings: LoadSettings) -> None:
        self._slow_factor = settings.slow_factor
        self._panic_fraction = settings.panic_part
        self._consecutive_failures = 0
        self._sample_count = 0
        self._probed_at = float("-inf")
        self.slot_time = 0.0

    def record_success(self, slot_time: float) -> None:
        """Records a successful response.

        Args:
            slot_time: Seconds that the request held its slot.
        """
        self._consecutive_failures = 0
        self._sample_count += 1
        if self._sample_count == 1:
            self.slot_time = slot_time
            return
        ewma_weight = max(SLOT_TIME_EWMA_WEIGHT, 1 / self._sample_count)
        self.slot_time += ewma_weight * (slot_time - self.slot_time)

    def record_failure(self) -> None:
        """Records a failure of the upstream."""
        self._consecutive_failures += 1

    @property
    def looks_unhealthy(self) -> bool:
        """Whether the upstream fails all requests, regardless of its peers."""
        return self._consecutive_failures >= UNHEALTHY_AFTER_FAILURES

    def is_unhealthy(self, peers: Sequence[UsageSum]) -> bool:
        """Returns whether the upstream should get no requests except probes.

        Args:
            peers: Recent usage sums of the peers.

        Returns:
            True if it looks unhealthy and most of its peers do not.
        """
        if not self.looks_unhealthy:
            return False
        unhealthy = 1 + sum(peer.sick for peer in peers)
        return unhealthy <= self._panic_fraction * (1 + len(peers))

    def may_start(self, peers: Sequence[UsageSum], *, now: float) -> bool:
        """Returns whether a request may be offered to the upstream now.

        Args:
            peers: Recent usage sums of the peers.
            now: Clock reading, seconds.

        Returns:
            True for a healthy upstream, and once a second for an unhealthy one.
        """
        if not self.is_unhealthy(peers):
            return True
        return now - self._probed_at >= PROBE_INTERVAL_SECONDS

    def record_start(self, *, now: float) -> None:
        """Records a start, which paces the probes of an unhealthy upstream.

        Args:
            now: Clock reading, seconds.
        """
        self._probed_at = now

    def is_slow(self, peers: Sequence[UsageSum]) -> bool:
        """Returns whether the upstream is much slower than its peers.

        Args:
            peers: Recent usage sums of the peers.

        Returns:
            True if its slot time exceeds their median by the configured factor.
        """
        peer_slot_times = [peer.slot_time for peer in peers if peer.slot_time > 0]
        if not peer_slot_times or self._sample_count < MIN_SLOT_TIME_SAMPLES:
            return False
        return self.slot_time > self._slow_factor * median(peer_slot_times)
