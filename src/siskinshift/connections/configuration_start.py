"""Decides when a starting balancer may apply the configuration of the store.

A store that was restored contains an older configuration than the peers hold. A
balancer that starts then would place its first flows by it, so it asks the peers first.
A store without generations is never restored, and its configuration is applied at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.fleet import Fleet
    from siskinshift.connections.fleet import Peer


# A hello is repeated after 0.25 s, and peers reply within a round trip.
CONFIRMATION_SECONDS = 0.35
# Includes a fetch from a peer. Callers' packets are held for a second before the first
# configuration.
MAX_DELAY_SECONDS = 0.9

ConfigurationT = TypeVar("ConfigurationT")


class ConfigurationStart(Generic[ConfigurationT]):
    """Holds the first configuration of the store until the peers have replied."""

    def __init__(self, fleet: Fleet) -> None:
        """Initializes the state without a configuration.

        Args:
            fleet: Peers of the node.
        """
        self._fleet = fleet
        self._held: ConfigurationT | None = None
        self._held_at = 0.0
        self._tried_member_ids: set[str] = set()
        # Version of the held configuration; 0 if none is held.
        self.held_version = 0

    def hold(self, configuration: ConfigurationT, *, version: int, now: float) -> None:
        """Holds a configuration unless a newer one is held.

        Args:
            configuration: The configuration of the store.
            version: Its version.
            now: Clock reading, seconds.
        """
        if self._held is None:
            self._held_at = now
        elif version < self.held_version:
            # The store was restored after the first read.
            return
        self._held = configuration
        self.held_version = version

    def release(self, *, peer_version: int) -> ConfigurationT | None:
        """Ends the hold, since a peer's configuration is about to be applied.

        Args:
            peer_version: Version of the peer's configuration.

        Returns:
            The held configuration if it is newer and has to be applied as well: the
            watch of the store does not deliver it again.
        """
        is_newer = self.held_version > peer_version
        held = self._end_hold()
        return held if is_newer else None

    def _end_hold(self) -> ConfigurationT | None:
        held, self._held = self._held, None
        self.held_version = 0
        return held

    @property
    def is_holding(self) -> bool:
        """Whether a configuration is held."""
        return self._held is not None

    def take(
        self, *, is_fetching: bool, fetch: Callable[[Peer], object], now: float
    ) -> ConfigurationT | None:
        """Returns the configuration once it may be applied.

        Args:
            is_fetching: Whether a fetch from a peer is in progress.
            fetch: Starts to fetch evacuations and configuration from a peer. Called
                once for each peer with a newer configuration than the held one, newest
                first, until one is applied.
            now: Clock reading, seconds.

        Returns:
            The configuration; None to keep waiting.
        """
        if self._held is None:
            return None
        if now < self._held_at + MAX_DELAY_SECONDS:
            if is_fetching:
                return None
            has_replies = self._fleet.is_complete(now=now) and not any(
                peer in self._fleet.balancers()
                for peer in self._fleet.unconfirmed(now=now)
            )
            if not has_replies and now < self._held_at + CONFIRMATION_SECONDS:
                return None
            newer = [
                peer
                for peer in self._fleet.balancers()
                if peer.configuration_version > self.held_version
                and peer.member.member_id not in self._tried_member_ids
            ]
            if newer:
                newest = max(newer, key=lambda peer: peer.configuration_version)
                self._tried_member_ids.add(newest.member.member_id)
                fetch(newest)
                return None
        return self._end_hold()
