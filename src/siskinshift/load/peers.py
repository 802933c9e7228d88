"""Selection of peers for the handover of requests, and the pauses between queries.

Flows that last hours pin requests to some agents, whose queues grow while other agents
have free slots. Load reports lag or are wrong, and agents that relied on them would all
send to the peer with the lowest report (herding). So two random candidates are queried
and their replies decide; the reports only order the two.

The pause after refusals doubles from 20 to at most 80 ms: at saturation every agent is
full, and a query for each queued request would cost messages without benefit. Jitter
shortens each pause by up to half, so that agents do not query at the same time.

Handover of queued requests alone would leave an overloaded agent fully busy while its
peers are half idle. So an agent that is busier than the mean of its service offers a
fraction of its new requests to peers first, even if its own slot is free. The fraction
changes by at most 0.05 with each exchange of usage sums (damping), because the sums lag
by seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    from random import Random

    from siskinshift.messages.load import UsageSum


CANDIDATE_COUNT = 2
MIN_SEARCH_PAUSE_SECONDS = 0.02
MAX_SEARCH_PAUSE_SECONDS = 0.08
OFFER_GAIN = 0.3
MAX_OFFER_STEP = 0.05
MAX_OFFER_FRACTION = 0.9


class PeerSelector:
    """Selects the peers to query.

    Attributes:
        offer_fraction: Fraction of new requests that is offered to peers first.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._peer_ids: tuple[str, ...] = ()
        self._busy_fractions_by_peer: dict[str, float] = {}
        self._pause = MIN_SEARCH_PAUSE_SECONDS
        self._next_search_at = 0.0
        self.offer_fraction = 0.0

    def configure(self, peer_ids: Iterable[str]) -> None:
        """Sets the ready peers.

        Args:
            peer_ids: Member ids of the other agents of the upstream class.
        """
        self._peer_ids = tuple(sorted(peer_ids))

    def may_search(self, *, now: float) -> bool:
        """Returns whether peers may be queried for a free slot.

        Args:
            now: Clock reading, seconds.

        Returns:
            False during the pause after refusals.
        """
        return bool(self._peer_ids) and now >= self._next_search_at

    def should_offer(self) -> bool:
        """Decides at random whether a new request is offered to peers first.

        Returns:
            True for `offer_fraction` of the calls.
        """
        return bool(self._peer_ids) and self._random.random() < self.offer_fraction

    def candidates(self) -> list[str]:
        """Draws the peers to query.

        Returns:
            Two random peers, the one with the lower reported load first.
        """
        count = min(CANDIDATE_COUNT, len(self._peer_ids))
        drawn = self._random.sample(self._peer_ids, count)
        return sorted(
            drawn, key=lambda peer_id: self._busy_fractions_by_peer.get(peer_id, 0.0)
        )

    def record_grant(self) -> None:
        """Resets the pause after a peer granted a slot."""
        self._pause = MIN_SEARCH_PAUSE_SECONDS
        self._next_search_at = 0.0

    def record_refusals(self, *, now: float) -> None:
        """Starts a pause after all candidates refused.

        Args:
            now: Clock reading, seconds.
        """
        self._next_search_at = now + self._random.uniform(0.5, 1.0) * self._pause
        self._pause = min(MAX_SEARCH_PAUSE_SECONDS, self._pause * 2)

    def update_usage(
        self,
        sums: Sequence[UsageSum],
        *,
        busy_fraction: float,
        min_offer_fraction: float,
    ) -> None:
        """Updates the reported loads of the peers and the fraction to offer.

        Args:
            sums: Recent usage sums of the peers.
            busy_fraction: Fraction of own slot time in use.
            min_offer_fraction: Lower bound of the fraction, for a slow, cold or drained
                upstream.
        """
        self._busy_fractions_by_peer = {
            usage.agent_id: usage.busy_part for usage in sums
        }
        if not sums:
            self.offer_fraction = 0.0
            return
        mean = (busy_fraction + sum(usage.busy_part for usage in sums)) / (
            1 + len(sums)
        )
        step = OFFER_GAIN * (busy_fraction - mean)
        step = min(MAX_OFFER_STEP, max(-MAX_OFFER_STEP, step))
        fraction = min(MAX_OFFER_FRACTION, max(0.0, self.offer_fraction + step))
        self.offer_fraction = max(fraction, min_offer_fraction)
