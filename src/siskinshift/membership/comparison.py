"""Compares the whole state with another balancer periodically (anti-entropy).

This repairs updates lost with the process that should have passed them on, fills the
table of a process that starts without state, and merges both sides of a partition.
While two processes agree, a comparison costs one hash. Where they differ it costs
the hashes of 64 buckets, then the stamps of the records of a few buckets at a time,
then only the records that differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from siskinshift.membership.actions import Call
from siskinshift.membership.table import format_hash
from siskinshift.membership.table import service_stamp_of
from siskinshift.membership.table import stamp_of
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.membership import Compare
from siskinshift.messages.membership import CompareReply
from siskinshift.messages.membership import Digest
from siskinshift.messages.membership import DigestReply
from siskinshift.messages.membership import News


if TYPE_CHECKING:
    import random

    from siskinshift.membership.table import MemberTable
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import Service
    from siskinshift.messages.membership import Stamp
    from siskinshift.settings.generated import MembershipSettings


BUCKETS_PER_MESSAGE = 4
# One partner in this many is chosen from the gone balancers and the seeds: only these
# lead back to the other side of a partition in which both sides expelled each other.
FALLBACK_PERIOD = 4
RETRY_SECONDS = 0.5


@define(eq=False)
class _Round:
    partner: Endpoint
    buckets: list[int]


def reply_to_digest(table: MemberTable, digest: Digest) -> DigestReply:
    """Replies to the message that opens a comparison.

    Args:
        table: Records of this process.
        digest: Hash of the sender's records.

    Returns:
        Hashes by bucket when the states differ.
    """
    if digest.state_hash == format_hash(table.state_hash):
        return DigestReply()
    return DigestReply(bucket_hashes=table.bucket_hashes)


def reply_to_compare(table: MemberTable, compare: Compare) -> CompareReply:
    """Compares some buckets record by record.

    Args:
        table: Records of this process.
        compare: Stamps of the sender's records.

    Returns:
        The records that the sender lacks, and the keys of those that this process
        lacks.
    """
    stamps_by_member_id = {stamp.key: stamp for stamp in compare.members}
    stamps_by_service_id = {stamp.key: stamp for stamp in compare.services}
    members = [
        member
        for bucket in compare.buckets
        for member in table.members_in_bucket(bucket)
        if _is_member_newer(member, stamps_by_member_id.get(member.member_id))
    ]
    services = [
        service
        for bucket in compare.buckets
        for service in table.services_in_bucket(bucket)
        if _is_service_newer(service, stamps_by_service_id.get(service.service_id))
    ]
    return CompareReply(
        members=tuple(members),
        services=tuple(services),
        wanted_members=tuple(
            stamp.key for stamp in compare.members if _lacks_member(table, stamp)
        ),
        wanted_services=tuple(
            stamp.key for stamp in compare.services if _lacks_service(table, stamp)
        ),
    )


class Comparison:
    """Chooses when to compare with which partner; one comparison at a time."""

    def __init__(
        self,
        *,
        own: Member,
        table: MemberTable,
        settings: MembershipSettings,
        random: random.Random,
    ) -> None:
        """Initializes the comparison; the first one is due after a random delay.

        Args:
            own: State of the process.
            table: Records of the process.
            settings: Interval and seeds.
            random: Source of jitter and partners.
        """
        self._own_id = own.member_id
        self._table = table
        self._settings = settings
        self._random = random
        self._seeds = tuple(seed for seed in settings.seeds if seed != own.control)
        self._next_at: float | None = None
        self._round: _Round | None = None
        self._has_completed = not self._seeds
        self._partners: tuple[int, list[Endpoint], list[Endpoint]] | None = None

    @property
    def has_completed(self) -> bool:
        """Whether a comparison has ever completed; always true without seeds."""
        return self._has_completed

    def due(self, now: float) -> list[Call]:
        """Opens a comparison when one is due.

        Args:
            now: Clock reading, seconds.

        Returns:
            The call, if any.
        """
        if self._next_at is None:
            jitter = self._random.uniform(0, self._settings.start_jitter)
            self._next_at = now + jitter
        if self._round is not None or self._next_at > now:
            return []
        partner = self._choose_partner()
        self._next_at = now + self._next_interval()
        if partner is None:
            return []
        self._round = _Round(partner, [])
        return [
            Call(partner, Digest(self._own_id, format_hash(self._table.state_hash)))
        ]

    def next_due(self) -> float:
        """Returns when `due` should be called next.

        Returns:
            Clock reading, seconds; infinity while a comparison runs.
        """
        if self._round is not None:
            return float("inf")
        return self._next_at or 0.0

    def on_digest_reply(self, partner: Endpoint, reply: DigestReply) -> list[Call]:
        """Continues with the buckets that differ.

        Args:
            partner: Sender of the reply.
            reply: Hashes by bucket.

        Returns:
            The next call, if any.
        """
        if self._round is None or self._round.partner != partner:
            return []
        pairs = zip(self._table.bucket_hashes, reply.bucket_hashes, strict=False)
        differing = [
            bucket for bucket, (own, theirs) in enumerate(pairs) if own != theirs
        ]
        self._round.buckets = differing
        return self._compare_next()

    def on_compare_reply(self, partner: Endpoint, reply: CompareReply) -> list[Call]:
        """Sends the records that the partner lacks and continues with more buckets.

        Args:
            partner: Sender of the reply.
            reply: What each side lacks; its records are merged already.

        Returns:
            The next calls, if any.
        """
        if self._round is None or self._round.partner != partner:
            return []
        calls = []
        if reply.wanted_members or reply.wanted_services:
            calls.append(Call(partner, self._wanted_records(reply)))
        return [*calls, *self._compare_next()]

    def on_failure(self, partner: Endpoint, *, now: float) -> None:
        """Aborts a comparison; another one is due soon.

        Args:
            partner: The partner that did not reply.
            now: Clock reading, seconds.
        """
        if self._round is None or self._round.partner != partner:
            return
        self._round = None
        retry_at = now + RETRY_SECONDS * self._random.uniform(0.5, 1.5)
        self._next_at = min(self._next_at or retry_at, retry_at)

    def _compare_next(self) -> list[Call]:
        assert self._round is not None
        if not self._round.buckets:
            self._round = None
            self._has_completed = True
            return []
        buckets = self._round.buckets[:BUCKETS_PER_MESSAGE]
        del self._round.buckets[:BUCKETS_PER_MESSAGE]
        members = [
            member
            for bucket in buckets
            for member in self._table.members_in_bucket(bucket)
        ]
        services = [
            service
            for bucket in buckets
            for service in self._table.services_in_bucket(bucket)
        ]
        compare = Compare(
            sender_id=self._own_id,
            buckets=tuple(buckets),
            members=tuple(stamp_of(member) for member in members),
            services=tuple(service_stamp_of(service) for service in services),
        )
        return [Call(self._round.partner, compare)]

    def _wanted_records(self, reply: CompareReply) -> News:
        members = self._table.members_by_id
        services = self._table.services.services_by_id
        return News(
            sender_id=self._own_id,
            members=tuple(
                members[key] for key in reply.wanted_members if key in members
            ),
            services=tuple(
                services[key] for key in reply.wanted_services if key in services
            ),
        )

    def _next_interval(self) -> float:
        # Without a completed comparison the next one is due soon.
        interval = self._settings.digest_interval
        if not self._has_completed:
            interval = min(interval, RETRY_SECONDS)
        return interval * self._random.uniform(0.5, 1.5)

    def _choose_partner(self) -> Endpoint | None:
        live, fallback = self._cached_partners()
        use_fallback = self._random.randrange(FALLBACK_PERIOD) == 0
        candidates = fallback if fallback and (use_fallback or not live) else live
        return self._random.choice(candidates) if candidates else None

    def _cached_partners(self) -> tuple[list[Endpoint], list[Endpoint]]:
        generation = self._table.balancer_generation
        if self._partners is None or self._partners[0] != generation:
            self._partners = (generation, *self._list_partners())
        return self._partners[1], self._partners[2]

    def _list_partners(self) -> tuple[list[Endpoint], list[Endpoint]]:
        live: list[Endpoint] = []
        fallback = list(self._seeds)
        for member in self._table.members_by_id.values():
            if member.role is not Role.BALANCER or member.member_id == self._own_id:
                continue
            is_gone = member.state is MemberState.GONE
            (fallback if is_gone else live).append(member.control)
        return live, fallback


def _is_member_newer(member: Member, stamp: Stamp | None) -> bool:
    if stamp is None:
        # A gone member is not sent to a process that has removed it already.
        return member.state is not MemberState.GONE
    return (member.incarnation, member.version) > (stamp.incarnation, stamp.version)


def _is_service_newer(service: Service, stamp: Stamp | None) -> bool:
    return stamp is None or service.revision > stamp.version


def _lacks_member(table: MemberTable, stamp: Stamp) -> bool:
    known = table.members_by_id.get(stamp.key)
    if known is None:
        return True
    return (stamp.incarnation, stamp.version) > (known.incarnation, known.version)


def _lacks_service(table: MemberTable, stamp: Stamp) -> bool:
    known = table.services.services_by_id.get(stamp.key)
    return known is None or stamp.version > known.revision
