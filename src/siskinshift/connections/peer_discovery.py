"""How a node finds the others while the store is away at its start.

Pattern: all nodes of a domain restart during an outage of the store. Seeds of the
settings, and whoever is heard, name the hosts that they know; the node greets those,
and they say themselves what they are. Hosts take four bytes each, so that a seed with
the link of the weakest instance can name hundreds to each of hundreds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.fleet import REPLY_TIMEOUT_SECONDS
from siskinshift.connections.peer_codec import KNOWN_HOSTS_MAXIMUM
from siskinshift.connections.peer_messages import KnownHosts
from siskinshift.messages.core import Role


if TYPE_CHECKING:
    from siskinshift.connections.fleet import Fleet
    from siskinshift.messages.core import Member


# Four times the nodes of the largest fleet: more are not our own.
HOSTS_MAXIMUM = 27_000


class PeerDiscovery:
    """The hosts that a node was told of, and those that it names to others."""

    def __init__(self, fleet: Fleet, *, own: Member) -> None:
        """Begins without any.

        Args:
            fleet: The node's peers.
            own: The node; all nodes use its port number.
        """
        self._fleet = fleet
        self._own = own
        self._told_at_by_host: dict[str, float] = {}
        self._hosts_by_teller: dict[str, set[str]] = {}
        self._is_whole = False

    def told(self, known: KnownHosts, teller: str, *, now: float) -> bool:
        """Takes a part of the hosts that a peer knows.

        Args:
            known: The part.
            teller: Host of the peer.
            now: Clock reading, seconds.

        Returns:
            Whether it was taken; not while more hosts are known than there can be.
        """
        if len(self._told_at_by_host) + len(known.hosts) > HOSTS_MAXIMUM:
            return False
        for host in known.hosts:
            self._told_at_by_host.setdefault(host, now)
        told = self._hosts_by_teller.setdefault(teller, set())
        told |= set(known.hosts)
        if known.is_whole and len(told) >= known.count:
            self._is_whole = True
        return True

    def unheard(self, *, now: float) -> list[str]:
        """Lists hosts that were told of lately and have not spoken since.

        Args:
            now: Clock reading, seconds.

        Returns:
            The hosts.
        """
        return [
            host
            for host, told_at in self._told_at_by_host.items()
            if now - told_at <= REPLY_TIMEOUT_SECONDS and not self._has_spoken(host)
        ]

    def strangers(self, *, now: float) -> list[str]:
        """Lists those of `unheard` that are no peers yet; peers are greeted anyway.

        Args:
            now: Clock reading, seconds.

        Returns:
            Hosts to greet.
        """
        known = self._fleet.peers_by_address
        port = self._own.data.port
        return [h for h in self.unheard(now=now) if (h, port) not in known]

    def are_complete(self, *, now: float) -> bool:
        """Says whether the node knows all that it can know without the store.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether a peer that knows all has named them all, and each has spoken or
            had the time to.
        """
        return self._is_whole and not self.unheard(now=now)

    def for_peer(self, asker: Member, *, now: float) -> list[KnownHosts]:
        """Names the hosts that this node knows.

        Args:
            asker: The peer; an agent needs to know balancers alone.
            now: Clock reading, seconds.

        Returns:
            All but its own, in parts that fit into a datagram each.
        """
        peers = self._fleet.balancers()
        if asker.role is not Role.AGENT:
            peers += self._fleet.agents()
        hosts = sorted({peer.address[0] for peer in peers} - {asker.data.host})
        is_whole = self._fleet.is_complete(now=now)
        return [
            KnownHosts(
                tuple(hosts[start : start + KNOWN_HOSTS_MAXIMUM]),
                count=len(hosts),
                is_whole=is_whole,
            )
            for start in range(0, max(1, len(hosts)), KNOWN_HOSTS_MAXIMUM)
        ]

    def _has_spoken(self, host: str) -> bool:
        peer = self._fleet.peers_by_address.get((host, self._own.data.port))
        return peer is not None and peer.last_seen_at >= peer.discovered_at
