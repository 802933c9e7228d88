"""What an agent holds about the flows of one service."""

from __future__ import annotations

from attrs import Factory
from attrs import define
from attrs import frozen

from siskinshift.flows.claims import Claim
from siskinshift.routing.buckets import BUCKET_COUNT
from siskinshift.routing.buckets import BucketTable
from siskinshift.routing.buckets import bucket_of


@frozen
class WantedClaim:
    """A peer's claim that the agent's own view does not agree with yet.

    Attributes:
        claimant_id: The peer.
        incarnation: Its incarnation.
        version: Version of the claim.
    """

    claimant_id: str
    incarnation: int
    version: int


@frozen
class GrantedFlow:
    """A flow that the agent let a peer create, kept after it gave up the bucket.

    Attributes:
        owner_id: The peer.
        version: Version of the peer's view when it asked.
        until: When to forget it, seconds.
    """

    owner_id: str
    version: int
    until: float


@define(eq=False)
class UnsentList:
    """The list of a bucket that its primary has not accepted yet.

    Attributes:
        due_at: When to send it (again), seconds.
        sequence: Message it was last sent with; 0 when it has changed since.
        attempts: Times it was sent.
        takes_back: Whether a flow has ended that the primary may hold a note about.
    """

    due_at: float
    sequence: int = 0
    attempts: int = 0
    takes_back: bool = False


@frozen
class ReleasedBucket:
    """A bucket whose held packets may go on.

    Attributes:
        bucket: The bucket.
        flows: Flows that became known; None for all.
    """

    bucket: int
    flows: frozenset[int] | None = None


@define(eq=False)
class ServiceFlows:
    """Flows, notes and claims of one service.

    Attributes:
        service_id: The service.
        table: Bucket table of the agent's present view; None before the first.
        flows_by_bucket: Hashes of the flows that the agent owns.
        claims_by_bucket: Buckets that the agent is or was primary of.
        unsettled: Buckets with a claim that is not settled.
        wanted_by_bucket: Claims of peers to confirm once the view agrees.
        granted_by_bucket: Recent permissions in buckets that were given up.
        given_by_bucket: Peers whose claims were confirmed lately, with the time.
        unsent_by_bucket: Lists that primaries have not accepted yet.
        ask_at_by_peer: When to claim from a peer (again), seconds.
        asked_by_peer: Times a peer was asked in vain.
        ask_idle_until: Nothing is to be asked before, seconds.
        released: Buckets whose held packets may go on.
        doubted_bucket: Bucket whose notes were audited last in turn.
    """

    service_id: str
    table: BucketTable | None = None
    flows_by_bucket: dict[int, set[int]] = Factory(dict)
    claims_by_bucket: dict[int, Claim] = Factory(dict)
    unsettled: set[int] = Factory(set)
    wanted_by_bucket: dict[int, WantedClaim] = Factory(dict)
    granted_by_bucket: dict[int, dict[int, GrantedFlow]] = Factory(dict)
    given_by_bucket: dict[int, dict[str, float]] = Factory(dict)
    unsent_by_bucket: dict[int, UnsentList] = Factory(dict)
    ask_at_by_peer: dict[str, float] = Factory(dict)
    asked_by_peer: dict[str, int] = Factory(dict)
    ask_idle_until: float = 0.0
    released: list[ReleasedBucket] = Factory(list)
    doubted_bucket: int = -1

    def owns(self, digest: int) -> bool:
        """Says whether the agent owns a flow.

        Args:
            digest: Hash of the flow.

        Returns:
            Whether it does.
        """
        flows = self.flows_by_bucket.get(bucket_of(digest))
        return flows is not None and digest in flows

    def add_flow(self, digest: int) -> None:
        """Records an own flow.

        Args:
            digest: Hash of the flow.
        """
        self.flows_by_bucket.setdefault(bucket_of(digest), set()).add(digest)

    def remove_flow(self, digest: int) -> None:
        """Forgets an own flow.

        Args:
            digest: Hash of the flow.
        """
        bucket = bucket_of(digest)
        flows = self.flows_by_bucket[bucket]
        flows.discard(digest)
        if not flows:
            del self.flows_by_bucket[bucket]

    def primary_id_of(self, bucket: int) -> str:
        """Names the primary of a bucket in the agent's present view.

        Args:
            bucket: The bucket.

        Returns:
            Its member id; empty when there is none.
        """
        agent = self.table.primary_of(bucket) if self.table else None
        return agent.member_id if agent else ""

    def ask_soon(self, peer_id: str, *, now: float) -> None:
        """Lets the next claim to a peer go at once.

        Args:
            peer_id: The peer.
            now: Clock reading, seconds.
        """
        self.ask_at_by_peer[peer_id] = now
        self.ask_idle_until = now
        self.asked_by_peer[peer_id] = 0

    def forget_owner(self, owner_id: str) -> None:
        """Drops all notes about an owner that is gone.

        Args:
            owner_id: The owner.
        """
        for claim in self.claims_by_bucket.values():
            claim.forget_owner(owner_id)

    def forget_listed(self, owner_id: str) -> None:
        """Drops the notes that an owner told itself, because it has started anew.

        Args:
            owner_id: The owner.
        """
        for claim in self.claims_by_bucket.values():
            claim.forget_listed(owner_id)

    def note_count(self) -> int:
        """Counts the notes held.

        Returns:
            Their number.
        """
        return sum(len(c.owners_by_flow) for c in self.claims_by_bucket.values())

    def flow_count(self) -> int:
        """Counts own flows.

        Returns:
            Their number.
        """
        return sum(map(len, self.flows_by_bucket.values()))

    def has_news(self, bucket: int) -> bool:
        """Says whether a list of a bucket would say anything.

        Args:
            bucket: The bucket.

        Returns:
            Whether the agent owns flows there or let peers create some lately.
        """
        return bucket in self.flows_by_bucket or bucket in self.granted_by_bucket


ALL_BUCKETS = range(BUCKET_COUNT)
