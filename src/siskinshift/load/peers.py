"""Peers that may take a queued request, and when to ask them.

Pattern: flows that last hours pin work to some agents, so some queue while others are
idle; load reports lag or lie. Without hand-over a request waits behind its agent's
queue although a slot is free elsewhere; with trust in reports everybody sends to the
one that reported least (herding).

Two random candidates are asked and their own answer is believed; the hint only orders
the two. The pause after refusals grows from 20 to 320 ms: at saturation every agent is
full, and asking for each queued request would cost messages for nothing. It is jittered
so that agents don't ask in step.

Handing over only what waits would leave a crowded agent fully busy while its peers are
half idle. So an agent that is busier than the mean of its service offers a part of its
new requests to peers first, although its own slot is free. That part moves by a
twentieth of full scale at most with each exchange of sums (damping), since the sums lag
by seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    from random import Random

    from siskinshift.messages.load import UsageSum


CANDIDATES = 2
SEARCH_PAUSE_FIRST_SECONDS = 0.02
SEARCH_PAUSE_MAXIMUM_SECONDS = 0.08
OFFER_GAIN = 0.3
OFFER_STEP_MAXIMUM = 0.05
OFFER_MAXIMUM = 0.9


class PeerChoice:
    """Chooses the peers to ask.

    Attributes:
        offer_part: Part of new requests that is offered to peers first.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._peer_ids: tuple[str, ...] = ()
        self._busy_by_peer: dict[str, float] = {}
        self._pause = SEARCH_PAUSE_FIRST_SECONDS
        self._next_search_at = 0.0
        self.offer_part = 0.0

    def configure(self, peer_ids: Iterable[str]) -> None:
        """Takes the peers that are ready.

        Args:
            peer_ids: Member ids of the other agents of the upstream class.
        """
        self._peer_ids = tuple(sorted(peer_ids))

    def may_search(self, *, now: float) -> bool:
        """Says whether peers may be asked for a free slot.

        Args:
            now: Clock reading, seconds.

        Returns:
            False during the pause after refusals.
        """
        return bool(self._peer_ids) and now >= self._next_search_at

    def wants_to_offer(self) -> bool:
        """Draws whether a new request is offered to peers first.

        Returns:
            True for the part that goes to peers.
        """
        return bool(self._peer_ids) and self._random.random() < self.offer_part

    def candidates(self) -> list[str]:
        """Draws the peers to ask.

        Returns:
            Two random peers, the one that is less busy by its hint first.
        """
        count = min(CANDIDATES, len(self._peer_ids))
        drawn = self._random.sample(self._peer_ids, count)
        return sorted(drawn, key=lambda peer_id: self._busy_by_peer.get(peer_id, 0.0))

    def granted(self) -> None:
        """Takes note that a peer had a free slot."""
        self._pause = SEARCH_PAUSE_FIRST_SECONDS
        self._next_search_at = 0.0

    def refused_by_all(self, *, now: float) -> None:
        """Takes note that all candidates refused.

        Args:
            now: Clock reading, seconds.
        """
        self._next_search_at = now + self._random.uniform(0.5, 1.0) * self._pause
        self._pause = min(SEARCH_PAUSE_MAXIMUM_SECONDS, self._pause * 2)

    def learn(
        self, sums: Sequence[UsageSum], *, busy_part: float, least_offer: float
    ) -> None:
        """Takes recent sums: hints of the peers, and the part to offer.

        Args:
            sums: Recent sums of the peers.
            busy_part: Part of own slot time in use.
            least_offer: Part to offer at least, since the upstream is slow or cold.
        """
        self._busy_by_peer = {usage.agent_id: usage.busy_part for usage in sums}
        if not sums:
            self.offer_part = 0.0
            return
        mean = (busy_part + sum(usage.busy_part for usage in sums)) / (1 + len(sums))
        step = OFFER_GAIN * (busy_part - mean)
        step = min(OFFER_STEP_MAXIMUM, max(-OFFER_STEP_MAXIMUM, step))
        part = min(OFFER_MAXIMUM, max(0.0, self.offer_part + step))
        self.offer_part = max(part, least_offer)
