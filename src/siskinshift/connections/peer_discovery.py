"""Discovers the other nodes when the store is unavailable at a node's start.

All nodes of a failure domain may restart during an outage of the store. Seeds from the
settings and known peers send lists of their hosts, the node sends a hello to each host,
and each replies with its status. A host takes four bytes, so that a seed on the slowest
link can send hundreds of hosts to each of hundreds of nodes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.fleet import REPLY_TIMEOUT_SECONDS
from siskinshift.connections.peer_codec import MAX_KNOWN_HOSTS
from siskinshift.connections.peer_messages import KnownHosts
from siskinshift.messages.core import Role


if TYPE_CHECKING:
    from siskinshift.connections.fleet import Fleet
    from siskinshift.messages.core import Member


# Four times the nodes of the largest fleet; more hosts can only come from a faulty or
# foreign sender.
MAX_HOSTS = 27_000


class PeerDiscovery:
    """Collects host lists of peers and creates those for peers."""

    def __init__(self, fleet: Fleet, *, own: Member) -> None:
        """Initializes the discovery without hosts.

        Args:
            fleet: Peers of the node.
            own: Record of the node; all nodes use its port number.
        """
        self._fleet = fleet
        self._own = own
        self._received_at_by_host: dict[str, float] = {}
        self._hosts_by_sender: dict[str, set[str]] = {}
        self._has_complete_list = False

    def add_hosts(self, known: KnownHosts, sender: str, *, now: float) -> bool:
        """Adds one part of a peer's list of hosts.

        Args:
            known: The part.
            sender: Host of the peer.
            now: Clock reading, seconds.

        Returns:
            Whether it was added; False if that would exceed the maximum of hosts.
        """
        if len(self._received_at_by_host) + len(known.hosts) > MAX_HOSTS:
            return False
        for host in known.hosts:
            self._received_at_by_host.setdefault(host, now)
        hosts = self._hosts_by_sender.setdefault(sender, set())
        hosts |= set(known.hosts)
        if known.is_complete and len(hosts) >= known.count:
            self._has_complete_list = True
        return True

    def unconfirmed_hosts(self, *, now: float) -> list[str]:
        """Returns hosts that were listed recently and have sent no message since.

        Args:
            now: Clock reading, seconds.

        Returns:
            The hosts.
        """
        return [
            host
            for host, received_at in self._received_at_by_host.items()
            if now - received_at <= REPLY_TIMEOUT_SECONDS
            and not self._has_responded(host)
        ]

    def hosts_to_contact(self, *, now: float) -> list[str]:
        """Returns the unconfirmed hosts that are not known peers.

        Known peers are sent hellos by the fleet's own retry.

        Args:
            now: Clock reading, seconds.

        Returns:
            Hosts to send a hello.
        """
        known = self._fleet.peers_by_address
        port = self._own.data.port
        return [h for h in self.unconfirmed_hosts(now=now) if (h, port) not in known]

    def is_finished(self, *, now: float) -> bool:
        """Returns whether discovery without the store has finished.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether a peer has sent its whole complete list, and each listed host has
            replied or missed its reply timeout.
        """
        return self._has_complete_list and not self.unconfirmed_hosts(now=now)

    def known_hosts_for(self, requester: Member, *, now: float) -> list[KnownHosts]:
        """Returns the hosts of the known members, for a peer that requested them.

        Args:
            requester: The peer; an agent is sent only the balancers.
            now: Clock reading, seconds.

        Returns:
            All hosts except the peer's own, in parts of one datagram each.
        """
        peers = self._fleet.balancers()
        if requester.role is not Role.AGENT:
            peers += self._fleet.agents()
        hosts = sorted({peer.address[0] for peer in peers} - {requester.data.host})
        is_complete = self._fleet.is_complete(now=now)
        return [
            KnownHosts(
                tuple(hosts[start : start + MAX_KNOWN_HOSTS]),
                count=len(hosts),
                is_complete=is_complete,
            )
            for start in range(0, max(1, len(hosts)), MAX_KNOWN_HOSTS)
        ]

    def _has_responded(self, host: str) -> bool:
        peer = self._fleet.peers_by_address.get((host, self._own.data.port))
        return peer is not None and peer.last_seen_at >= peer.discovered_at
