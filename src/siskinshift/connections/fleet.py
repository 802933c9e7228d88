"""What a node knows of its peers, by which evidence and how old it is.

Two sources tell of a peer: its entry in the store, and what it says itself. Its own
words go first: the store may lose an entry without a word while the peer lives, and
keeps that of a dead peer until the lease ends.
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

    from siskinshift.connections.peer_messages import Alive
    from siskinshift.connections.peer_messages import Status


# Members say something of themselves at most this often, seconds: opening packets to a
# dead agent are retried elsewhere after tens of milliseconds anyway.
STATUS_INTERVAL_SECONDS = 0.5
# Five words lost in a row are no chance on a link that loses one in forty.
SILENT_AFTER_WORDS = 5
# A word may come late by this without being lost.
DELAY_ALLOWANCE_SECONDS = 0.1
# A peer that a node was told of is greeted until it speaks; it answers in milliseconds,
# or within this when it starts as well or greetings are lost. The store shows entries
# of the dead until their leases end, and flows that nobody holds are found out only
# when all agents have spoken.
REPLY_TIMEOUT_SECONDS = 1.5
# The same for an agent that held no flow, by its last word, and could take none. Two
# questions fit in. Instances whose upstreams were taken away come back for a moment
# after a loss of power, and go without a word.
IDLE_ANSWER_SECONDS = 0.2
# Pause between two greetings of one peer: the first one may be lost on a full link, and
# the peer would not know of this node until it reads the store.
GREET_AGAIN_SECONDS = 0.25
# While the store is away at a node's start, peers make themselves known within this, or
# within the time that the most seldom of them speak.
COMPLETE_AFTER_SECONDS = 2.0
# A peer that is neither registered nor heard of for this long is forgotten. Entries
# that lapsed with the store away are back within two seconds of its return.
FORGET_AFTER_SECONDS = 6.0
NEVER = float("-inf")
NO_LOAD = Load()


@define(eq=False)
class Peer:
    """A member with the evidence for it.

    Attributes:
        member: Its newest record.
        address: Where its datagrams go.
        last_seen_at: When it last said something itself, seconds.
        discovered_at: When it was first told of, or told of as restarted, seconds.
        registered_at: When the store last showed its entry, seconds.
        is_registered: Whether it may have an entry: the newest reading of the store
            shows it, or it has spoken since.
        load: Its newest load.
        flows_since_load: New flows sent to it since that load was told.
        configuration_version: Newest configuration that it holds.
        speaks_within: Seconds within which it speaks again, by its own word.
        asked_at: When it was first asked something that it has not answered, seconds;
            never if it has spoken since.
        unanswered_openings: Opening packets in a row that it did not answer.
        key: Hash of its member id, for the choice of agents by a flow's hash.
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
    speaks_within: float = STATUS_INTERVAL_SECONDS
    asked_at: float = float("inf")
    unanswered_openings: int = 0
    key: int = 0

    def __attrs_post_init__(self) -> None:
        self.key = xxhash.xxh3_64_intdigest(self.member.member_id.encode())

    @property
    def silent_after(self) -> float:
        """Seconds without a word after which it counts as silent."""
        return SILENT_AFTER_WORDS * self.speaks_within + DELAY_ALLOWANCE_SECONDS

    @property
    def was_idle(self) -> bool:
        """Whether it held no flow for certain, and could take none, when it spoke."""
        is_open = self.member.state is MemberState.READY
        return self.load.is_certain and not self.load.flows and not is_open

    def is_unresponsive(self, *, now: float) -> bool:
        """Says whether the peer should have spoken by now.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether it has not spoken lately, or not at all since it was told of, or
            not since it was asked.
        """
        patience = IDLE_ANSWER_SECONDS if self.was_idle else REPLY_TIMEOUT_SECONDS
        if now - self.asked_at > patience:
            return True
        if self.last_seen_at >= self.discovered_at:
            return now - self.last_seen_at > self.silent_after
        return now - self.discovered_at > REPLY_TIMEOUT_SECONDS


class Fleet:
    """The peers of a node.

    Attributes:
        peers_by_id: All known peers.
        peers_by_address: The same by where their datagrams come from.
    """

    def __init__(self, own: Member, *, now: float) -> None:
        """Knows nobody yet.

        Args:
            own: The node itself; it is no peer of its own.
            now: Clock reading, seconds.
        """
        self._own = own
        self._began_at = now
        self._knows_all = False
        self.peers_by_id: dict[str, Peer] = {}
        self.peers_by_address: dict[tuple[str, int], Peer] = {}
        self._agents_by_class: dict[str, list[Peer]] = {}

    def is_complete(self, *, now: float) -> bool:
        """Says whether a peer that is not known can be taken not to exist.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether the store was read, or a peer that knows all has named them all, or
            peers had the time to make themselves known.
        """
        if self._knows_all:
            return True
        pauses = (peer.speaks_within for peer in self.peers_by_id.values())
        allowed = max(
            COMPLETE_AFTER_SECONDS, max(pauses, default=0.0) + DELAY_ALLOWANCE_SECONDS
        )
        self._knows_all = now - self._began_at >= allowed
        return self._knows_all

    def complete(self) -> None:
        """Takes note that all peers are known."""
        self._knows_all = True

    def agents_of(self, service_id: str) -> list[Peer]:
        """Lists the agents beside upstreams of a service.

        Args:
            service_id: The service.

        Returns:
            Its agents in any state.
        """
        return self._agents_by_class.get(service_id, [])

    def agents(self) -> list[Peer]:
        """Lists all agents."""
        return [p for p in self.peers_by_id.values() if p.member.role is Role.AGENT]

    def balancers(self) -> list[Peer]:
        """Lists all other balancers, or all balancers for an agent."""
        return [p for p in self.peers_by_id.values() if p.member.role is Role.BALANCER]

    def handle_status(self, status: Status, *, now: float) -> Peer | None:
        """Takes a member's own words.

        Args:
            status: Its words.
            now: Clock reading, seconds.

        Returns:
            The peer; None for words of the node itself.
        """
        peer = self._merge(status.member, now=now, is_own_word=True)
        if peer is None:
            return None
        if status.member.state is MemberState.GONE:
            self._remove(peer)
            return peer
        peer.configuration_version = status.configuration_version
        self.record_message(peer, now=now)
        self.update_load(peer, status.load)
        return peer

    def handle_alive(self, peer: Peer, words: Alive, *, now: float) -> bool:
        """Takes a peer's word that it lives.

        Args:
            peer: The peer.
            words: Its word.
            now: Clock reading, seconds.

        Returns:
            Whether the record that is known here is its present one.
        """
        known = (peer.member.incarnation, peer.member.version)
        if known != (words.incarnation, words.version):
            return False
        peer.configuration_version = words.configuration_version
        peer.speaks_within = max(words.next_within, STATUS_INTERVAL_SECONDS)
        self.record_message(peer, now=now)
        self.update_load(peer, words.load)
        return True

    def update_load(self, peer: Peer, load: Load) -> None:
        """Takes an agent's load.

        Args:
            peer: The agent.
            load: Its load.
        """
        peer.load = load
        peer.flows_since_load = 0

    def record_message(self, peer: Peer, *, now: float) -> None:
        """Takes note of any other message of a peer.

        Args:
            peer: The peer.
            now: Clock reading, seconds.
        """
        peer.last_seen_at = now
        peer.asked_at = float("inf")
        peer.unanswered_openings = 0
        peer.is_registered = True

    def record_query(self, peer: Peer, *, now: float) -> None:
        """Takes note that a peer owes an answer.

        Guards against callers that wait for a dead agent of another failure domain: by
        its words it counts as silent only after seconds.

        Args:
            peer: The peer.
            now: Clock reading, seconds.
        """
        peer.asked_at = min(peer.asked_at, now)

    def apply_registrations(
        self, members: Iterable[Member], *, now: float
    ) -> list[Peer]:
        """Takes a whole reading of the store.

        Args:
            members: All entries.
            now: Clock reading, seconds.

        Returns:
            Peers that were not known before.
        """
        self._knows_all = True
        known = set(self.peers_by_id)
        seen: set[str] = set()
        for member in members:
            peer = self._merge(member, now=now, is_own_word=False)
            if peer is None:
                continue
            seen.add(member.member_id)
            peer.is_registered = True
            peer.registered_at = now
        for member_id, peer in self.peers_by_id.items():
            if member_id not in seen:
                peer.is_registered = False
        return [self.peers_by_id[i] for i in sorted(seen - known)]

    def unheard(self, *, now: float) -> list[Peer]:
        """Lists peers that were told of lately and have not spoken since.

        Args:
            now: Clock reading, seconds.

        Returns:
            Who should be greeted again.
        """
        return [
            peer
            for peer in self.peers_by_id.values()
            if peer.last_seen_at < peer.discovered_at
            and now - peer.discovered_at <= REPLY_TIMEOUT_SECONDS
        ]

    def has_silent(self, *, now: float) -> bool:
        """Says whether a peer is silent whose entry may have lapsed.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether the entries are worth a reading.
        """
        return any(
            peer.is_registered and peer.is_unresponsive(now=now)
            for peer in self.peers_by_id.values()
        )

    def remove_unresponsive(self, *, now: float) -> list[Peer]:
        """Forgets peers for which nothing speaks any more.

        Args:
            now: Clock reading, seconds.

        Returns:
            Who was forgotten.
        """
        gone = [
            peer
            for peer in self.peers_by_id.values()
            if not peer.is_registered
            and now - max(peer.last_seen_at, peer.registered_at)
            > max(FORGET_AFTER_SECONDS, peer.silent_after)
        ]
        for peer in gone:
            self._remove(peer)
        return gone

    def _merge(self, member: Member, *, now: float, is_own_word: bool) -> Peer | None:
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
        if not _replaces(member, peer.member, is_own_word=is_own_word):
            return peer
        if member.incarnation != peer.member.incarnation:
            peer.discovered_at = now
        moved = peer.member.data != member.data
        reclassed = peer.member.upstream_class != member.upstream_class
        peer.member = member
        if moved:
            self.peers_by_address.pop(peer.address, None)
            peer.address = (member.data.host, member.data.port)
            self.peers_by_address[peer.address] = peer
        if reclassed:
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


def _replaces(new: Member, old: Member, *, is_own_word: bool) -> bool:
    if new.incarnation == old.incarnation:
        return new.version > old.version
    # Incarnations are drawn from the time of day, which jumps: a restarted member
    # may look older than before. What it says itself is believed all the same.
    return is_own_word or new.incarnation > old.incarnation
