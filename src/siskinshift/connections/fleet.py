"""Keeps the peers of a node and tracks which of them are reachable.

A peer is known from its entry in the store and from its own messages. Its own messages
take precedence: the store may silently lose the entry of a running peer, and keeps the
entry of a dead one until its lease expires.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from attrs import define

from siskinshift.connections.peer_messages import Load
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.peer_messages import PeerHeartbeat
    from siskinshift.connections.peer_messages import Status


# Shortest interval between two heartbeats to one peer. It need not be shorter, since
# opening packets to a dead agent are retried elsewhere after tens of milliseconds.
MIN_HEARTBEAT_INTERVAL_SECONDS = 0.5
# A link that loses one message in forty practically never loses five in a row.
UNRESPONSIVE_AFTER_INTERVALS = 5
# Delay up to which a heartbeat counts as late rather than lost.
DELAY_ALLOWANCE_SECONDS = 0.1
# A newly discovered peer is sent hellos until its first message. It replies within
# milliseconds, or within this time if it is starting as well or hellos are lost. The
# store lists dead nodes until their leases expire, and a flow without an owner is
# detected only after all agents have replied.
REPLY_TIMEOUT_SECONDS = 1.5
# The same for an agent that held no flow and could accept none according to its last
# message; long enough for two queries. After a power loss, instances whose upstreams
# were removed come back briefly and then disappear without a message.
IDLE_REPLY_TIMEOUT_SECONDS = 0.2
# The first hello may be lost on a saturated link, and the peer would not discover this
# node until it reads the store.
HELLO_INTERVAL_SECONDS = 0.25
# Time within which peers announce themselves to a node that starts without the store;
# longer if the heartbeat interval of one of them is longer.
DISCOVERY_TIMEOUT_SECONDS = 2.0
# A peer without an entry and without messages is removed after this time. Entries that
# expired during an outage of the store are back within two seconds of its return.
REMOVE_AFTER_SECONDS = 6.0
# Weight of a new round trip in the moving mean.
ROUND_TRIP_SMOOTHING_FACTOR = 0.1
# Age from which the mean does not describe the present state. An ejected agent gets at
# most one probe a second from a balancer.
MAX_ROUND_TRIP_AGE_SECONDS = 3.0
NEVER = float("-inf")
NO_LOAD = Load()


@define(eq=False)
class Peer:
    """A member with the state of the communication with it.

    Attributes:
        member: Newest record of the member.
        address: Destination of datagrams to the peer.
        last_seen_at: Time of its last message, seconds.
        discovered_at: Time at which it, or its restart, was first discovered, seconds.
        registered_at: Time at which its entry was last read from the store, seconds.
        is_registered: Whether it may have an entry: the newest read of the store
            contained it, or it has sent a message since.
        load: Newest load that it reported.
        flows_since_load: New flows sent to it since it reported that load.
        configuration_version: Newest configuration that it holds.
        next_heartbeat_within: Seconds until its next heartbeat, as it announced.
        queried_at: Time of the first query that it has not answered, seconds; infinite
            if it has sent a message since.
        unanswered_openings: Consecutive opening packets that it did not answer.
        round_trip: Moving mean of the time from an opening packet to its verdict,
            seconds; 0 before the first.
        round_trip_at: Time of the newest round trip, seconds.
        key: Hash of its member id, used to choose agents by a flow's hash.
    """

    member: Member
    address: tuple[str, int]
    last_seen_at: float = NEVER
    discovered_at: float = NEVER
    registered_at: float = NEVER
    is_registered: bool = False
    load: Load = NO_LOAD
    flows_since_load: int = 0
    configuration_version: int = 0
    next_heartbeat_within: float = MIN_HEARTBEAT_INTERVAL_SECONDS
    queried_at: float = float("inf")
    unanswered_openings: int = 0
    round_trip: float = 0.0
    round_trip_at: float = NEVER
    key: int = 0

    def __attrs_post_init__(self) -> None:
        self.key = xxhash.xxh3_64_intdigest(self.member.member_id.encode())

    @property
    def unresponsive_after(self) -> float:
        """Seconds without a message after which it counts as unresponsive."""
        return (
            UNRESPONSIVE_AFTER_INTERVALS * self.next_heartbeat_within
            + DELAY_ALLOWANCE_SECONDS
        )

    def record_round_trip(self, seconds: float, *, now: float) -> None:
        """Updates the moving mean of the round trip; an outdated one starts again.

        Args:
            seconds: Time from an opening packet to its verdict.
            now: Clock reading, seconds.
        """
        if now - self.round_trip_at > MAX_ROUND_TRIP_AGE_SECONDS:
            self.round_trip = seconds
        self.round_trip_at = now
        self.round_trip += ROUND_TRIP_SMOOTHING_FACTOR * (seconds - self.round_trip)

    @property
    def was_idle(self) -> bool:
        """Whether, by its last report, it certainly holds no flow and is not ready."""
        is_ready = self.member.state is MemberState.READY
        return self.load.is_certain and not self.load.flows and not is_ready

    @property
    def may_return_with_flows(self) -> bool:
        """Whether, by its newest record, it restarts or leaves with open flows."""
        return self.member.state is MemberState.DRAINING and not self.was_idle

    def is_unresponsive(self, *, now: float) -> bool:
        """Returns whether the peer has missed the timeout for its next message.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether its heartbeats are missing, or it sent no message after its
            discovery, or it did not answer a query in time.
        """
        timeout = IDLE_REPLY_TIMEOUT_SECONDS if self.was_idle else REPLY_TIMEOUT_SECONDS
        if now - self.queried_at > timeout:
            return True
        if self.last_seen_at >= self.discovered_at:
            return now - self.last_seen_at > self.unresponsive_after
        return now - self.discovered_at > REPLY_TIMEOUT_SECONDS


class Fleet:
    """The peers of a node.

    Attributes:
        peers_by_id: All known peers.
        peers_by_address: The same peers by the source address of their datagrams.
    """

    def __init__(self, own: Member, *, now: float) -> None:
        """Initializes a fleet without peers.

        Args:
            own: Record of the node itself, which is not a peer.
            now: Clock reading, seconds.
        """
        self._own = own
        self._started_at = now
        self._is_complete = False
        self.peers_by_id: dict[str, Peer] = {}
        self.peers_by_address: dict[tuple[str, int], Peer] = {}
        self._agents_by_class: dict[str, list[Peer]] = {}

    def is_complete(self, *, now: float) -> bool:
        """Returns whether all existing members are known peers.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether the store was read, or a peer has sent its complete list, or the
            time within which peers announce themselves has passed.
        """
        if self._is_complete:
            return True
        intervals = (peer.next_heartbeat_within for peer in self.peers_by_id.values())
        timeout = max(
            DISCOVERY_TIMEOUT_SECONDS,
            max(intervals, default=0.0) + DELAY_ALLOWANCE_SECONDS,
        )
        self._is_complete = now - self._started_at >= timeout
        return self._is_complete

    def mark_complete(self) -> None:
        """Records that all peers are known."""
        self._is_complete = True

    def agents_of(self, service_id: str) -> list[Peer]:
        """Returns the agents whose upstreams serve a service.

        Args:
            service_id: The service.

        Returns:
            Its agents, in any state.
        """
        return self._agents_by_class.get(service_id, [])

    def agents(self) -> list[Peer]:
        """Returns all agents."""
        return [p for p in self.peers_by_id.values() if p.member.role is Role.AGENT]

    def balancers(self) -> list[Peer]:
        """Returns all balancers except the node itself."""
        return [p for p in self.peers_by_id.values() if p.member.role is Role.BALANCER]

    def handle_status(self, status: Status, *, now: float) -> Peer | None:
        """Handles a status that a member sent of itself.

        Args:
            status: The status.
            now: Clock reading, seconds.

        Returns:
            The peer; None for a status of the node itself.
        """
        peer = self._merge(status.member, now=now, is_from_member=True)
        if peer is None:
            return None
        if status.member.state is MemberState.GONE:
            self._remove(peer)
            return peer
        peer.configuration_version = status.configuration_version
        self.record_message(peer, now=now)
        self.update_load(peer, status.load)
        return peer

    def handle_heartbeat(
        self, peer: Peer, message: PeerHeartbeat, *, now: float
    ) -> bool:
        """Handles a heartbeat of a peer.

        Args:
            peer: The peer.
            message: The heartbeat.
            now: Clock reading, seconds.

        Returns:
            Whether the heartbeat refers to the record that is known here. Otherwise it
            is ignored.
        """
        known = (peer.member.incarnation, peer.member.version)
        if known != (message.incarnation, message.version):
            return False
        peer.configuration_version = message.configuration_version
        peer.next_heartbeat_within = max(
            message.next_heartbeat_within, MIN_HEARTBEAT_INTERVAL_SECONDS
        )
        self.record_message(peer, now=now)
        self.update_load(peer, message.load)
        return True

    def update_load(self, peer: Peer, load: Load) -> None:
        """Updates the load of an agent.

        Args:
            peer: The agent.
            load: The reported load.
        """
        peer.load = load
        peer.flows_since_load = 0

    def record_message(self, peer: Peer, *, now: float) -> None:
        """Records that a message of a peer was received.

        Args:
            peer: The peer.
            now: Clock reading, seconds.
        """
        peer.last_seen_at = now
        peer.queried_at = float("inf")
        peer.unanswered_openings = 0
        peer.is_registered = True

    def record_query(self, peer: Peer, *, now: float) -> None:
        """Records that a peer was sent a query.

        Without this, callers would wait for a dead agent of another failure domain:
        its heartbeats are seconds apart, so their absence is detected too late.

        Args:
            peer: The peer.
            now: Clock reading, seconds.
        """
        peer.queried_at = min(peer.queried_at, now)

    def apply_registrations(
        self, members: Iterable[Member], *, now: float
    ) -> list[Peer]:
        """Applies a complete read of the entries in the store.

        Args:
            members: Members of all entries.
            now: Clock reading, seconds.

        Returns:
            Newly discovered peers.
        """
        self._is_complete = True
        known = set(self.peers_by_id)
        seen: set[str] = set()
        for member in members:
            peer = self._merge(member, now=now, is_from_member=False)
            if peer is None:
                continue
            seen.add(member.member_id)
            peer.is_registered = True
            peer.registered_at = now
        for member_id, peer in self.peers_by_id.items():
            if member_id not in seen:
                peer.is_registered = False
        return [self.peers_by_id[i] for i in sorted(seen - known)]

    def unconfirmed(self, *, now: float) -> list[Peer]:
        """Returns recently discovered peers that have sent no message since.

        Args:
            now: Clock reading, seconds.

        Returns:
            Peers that should be sent another hello.
        """
        return [
            peer
            for peer in self.peers_by_id.values()
            if peer.last_seen_at < peer.discovered_at
            and now - peer.discovered_at <= REPLY_TIMEOUT_SECONDS
        ]

    def has_unresponsive(self, *, now: float) -> bool:
        """Returns whether a peer with an entry is unresponsive.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether the store should be read, since that entry may have expired.
        """
        return any(
            peer.is_registered and peer.is_unresponsive(now=now)
            for peer in self.peers_by_id.values()
        )

    def remove_unresponsive(self, *, now: float) -> list[Peer]:
        """Removes unresponsive peers that have no entry in the store.

        Args:
            now: Clock reading, seconds.

        Returns:
            The removed peers.
        """
        removed = [
            peer
            for peer in self.peers_by_id.values()
            if not peer.is_registered
            and now - max(peer.last_seen_at, peer.registered_at)
            > max(REMOVE_AFTER_SECONDS, peer.unresponsive_after)
        ]
        for peer in removed:
            self._remove(peer)
        return removed

    def _merge(
        self, member: Member, *, now: float, is_from_member: bool
    ) -> Peer | None:
        if member.member_id == self._own.member_id:
            return None
        peer = self.peers_by_id.get(member.member_id)
        if peer is None:
            address = (member.data.host, member.data.port)
            peer = Peer(member, address, discovered_at=now)
            self.peers_by_id[member.member_id] = peer
            self.peers_by_address[peer.address] = peer
            self._index()
            return peer
        if not _replaces(member, peer.member, is_from_member=is_from_member):
            return peer
        if member.incarnation != peer.member.incarnation:
            peer.discovered_at = now
            peer.round_trip = 0.0
            peer.round_trip_at = NEVER
        has_moved = peer.member.data != member.data
        has_changed_service = peer.member.upstream_class != member.upstream_class
        peer.member = member
        if has_moved:
            self.peers_by_address.pop(peer.address, None)
            peer.address = (member.data.host, member.data.port)
            self.peers_by_address[peer.address] = peer
        if has_changed_service:
            self._index()
        return peer

    def _remove(self, peer: Peer) -> None:
        self.peers_by_id.pop(peer.member.member_id, None)
        if self.peers_by_address.get(peer.address) is peer:
            del self.peers_by_address[peer.address]
        self._index()

    def _index(self) -> None:
        self._agents_by_class = {}
        for member_id in sorted(self.peers_by_id):
            peer = self.peers_by_id[member_id]
            if peer.member.role is Role.AGENT:
                service_id = peer.member.upstream_class
                self._agents_by_class.setdefault(service_id, []).append(peer)


def _replaces(new: Member, old: Member, *, is_from_member: bool) -> bool:
    if new.incarnation == old.incarnation:
        return new.version > old.version
    # Incarnations come from the wall clock, which may jump back, so a restarted member
    # may have a lower one than before. Its own messages are always applied.
    return is_from_member or new.incarnation > old.incarnation
