"""State of one service's flows at an agent."""

from __future__ import annotations

from attrs import Factory
from attrs import define
from attrs import frozen

from siskinshift.flows.claims import Claim
from siskinshift.routing.buckets import BUCKET_COUNT
from siskinshift.routing.buckets import BucketTable
from siskinshift.routing.buckets import bucket_of


@frozen
class PeerClaim:
    """A peer's claim of buckets, stored until the agent's view agrees with it.

    Attributes:
        claimant_id: Member id of the peer.
        incarnation: Incarnation of the peer.
        version: Version of the claim.
    """

    claimant_id: str
    incarnation: int
    version: int


@frozen
class PermittedFlow:
    """A flow that a peer was permitted to create, kept after the bucket has moved.

    Attributes:
        owner_id: Member id of the peer.
        version: Version of the peer's view when it sent the query.
        expires_at: Clock reading when the record expires, seconds.
    """

    owner_id: str
    version: int
    expires_at: float


@define(eq=False)
class PendingList:
    """A list of a bucket that the primary has not accepted yet.

    Attributes:
        due_at: Clock reading of the next attempt, seconds.
        sequence: Number of the last message with it; 0 if it has changed since.
        attempts: Number of attempts so far.
        retracts_flows: Whether the primary may have a note about an ended flow.
    """

    due_at: float
    sequence: int = 0
    attempts: int = 0
    retracts_flows: bool = False


@frozen
class ReleasedBucket:
    """A bucket whose held packets can be routed.

    Attributes:
        bucket: The bucket.
        flows: Flows whose owner is known now; None for all.
    """

    bucket: int
    flows: frozenset[int] | None = None


@define(eq=False)
class ServiceFlows:
    """Flows, notes and claims of one service.

    Attributes:
        service_id: The service.
        table: Bucket table of the agent's current view; None before the first.
        flows_by_bucket: Hashes of the flows that the agent owns.
        claims_by_bucket: Buckets that the agent is or was primary of.
        incomplete_buckets: Buckets with an incomplete claim.
        peer_claims_by_bucket: Claims of peers that the view does not agree with yet.
        permitted_by_bucket: Recent permissions in relinquished buckets, by flow.
        confirmations_by_bucket: Times of recent confirmations, by claiming peer.
        pending_lists_by_bucket: Lists that primaries have not accepted yet.
        request_at_by_peer: Clock readings of the next requests, seconds.
        attempts_by_peer: Number of requests to a peer since its last confirmation.
        requests_idle_until: Clock reading before which no requests are sent, seconds.
        released: Buckets whose held packets can be routed.
        last_audited_bucket: Last bucket that the periodic audit selected.
    """

    service_id: str
    table: BucketTable | None = None
    flows_by_bucket: dict[int, set[int]] = Factory(dict)
    claims_by_bucket: dict[int, Claim] = Factory(dict)
    incomplete_buckets: set[int] = Factory(set)
    peer_claims_by_bucket: dict[int, PeerClaim] = Factory(dict)
    permitted_by_bucket: dict[int, dict[int, PermittedFlow]] = Factory(dict)
    confirmations_by_bucket: dict[int, dict[str, float]] = Factory(dict)
    pending_lists_by_bucket: dict[int, PendingList] = Factory(dict)
    request_at_by_peer: dict[str, float] = Factory(dict)
    attempts_by_peer: dict[str, int] = Factory(dict)
    requests_idle_until: float = 0.0
    released: list[ReleasedBucket] = Factory(list)
    last_audited_bucket: int = -1

    def owns(self, flow_hash: int) -> bool:
        """Returns whether the agent owns a flow.

        Args:
            flow_hash: Hash of the flow.

        Returns:
            Whether the flow is owned.
        """
        flows = self.flows_by_bucket.get(bucket_of(flow_hash))
        return flows is not None and flow_hash in flows

    def add_flow(self, flow_hash: int) -> None:
        """Adds an owned flow.

        Args:
            flow_hash: Hash of the flow.
        """
        self.flows_by_bucket.setdefault(bucket_of(flow_hash), set()).add(flow_hash)

    def remove_flow(self, flow_hash: int) -> None:
        """Removes an owned flow.

        Args:
            flow_hash: Hash of the flow.
        """
        bucket = bucket_of(flow_hash)
        flows = self.flows_by_bucket[bucket]
        flows.discard(flow_hash)
        if not flows:
            del self.flows_by_bucket[bucket]

    def primary_id_of(self, bucket: int) -> str:
        """Returns the primary of a bucket in the agent's current view.

        Args:
            bucket: The bucket.

        Returns:
            The member id; empty if there is no primary.
        """
        agent = self.table.primary_of(bucket) if self.table else None
        return agent.member_id if agent else ""

    def request_soon(self, peer_id: str, *, now: float) -> None:
        """Makes the next request to a peer due at once.

        Args:
            peer_id: The peer.
            now: Clock reading, seconds.
        """
        self.request_at_by_peer[peer_id] = now
        self.requests_idle_until = now
        self.attempts_by_peer[peer_id] = 0

    def remove_notes_of(self, owner_id: str) -> None:
        """Removes all notes about the flows of an owner that is gone.

        Args:
            owner_id: The owner.
        """
        for claim in self.claims_by_bucket.values():
            claim.remove_notes_of(owner_id)

    def remove_listed_notes_of(self, owner_id: str) -> None:
        """Removes the notes from the lists of an owner that has restarted.

        Args:
            owner_id: The owner.
        """
        for claim in self.claims_by_bucket.values():
            claim.remove_listed_notes_of(owner_id)

    def note_count(self) -> int:
        """Counts the stored notes.

        Returns:
            The number of notes.
        """
        return sum(len(c.owners_by_flow) for c in self.claims_by_bucket.values())

    def flow_count(self) -> int:
        """Counts the owned flows.

        Returns:
            The number of flows.
        """
        return sum(map(len, self.flows_by_bucket.values()))

    def has_list_content(self, bucket: int) -> bool:
        """Returns whether the list of a bucket would have any content.

        Args:
            bucket: The bucket.

        Returns:
            Whether the agent owns flows there or recently permitted some to peers.
        """
        return bucket in self.flows_by_bucket or bucket in self.permitted_by_bucket


ALL_BUCKETS = range(BUCKET_COUNT)
