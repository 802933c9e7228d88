"""Assigns watchers to members by rendezvous hashing over failure domains.

A member is watched from its own region while that region has balancers, so that a
partition between regions makes no member unresponsive. The region's failure domains are
ranked by rendezvous hashing, and the watchers are distributed over them in turn. Within
a domain the balancers are ranked by rendezvous hashing again. All processes that have
the same balancers in their tables compute the same watchers, and a change of one
balancer moves only the members that it watched or now watches.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from attrs import define
from attrs import field

from siskinshift.membership.table import domain_of
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role


if TYPE_CHECKING:
    from collections.abc import Iterable


WATCHER_COUNT = 3
WATCHING_STATES = frozenset(
    {MemberState.READY, MemberState.SUSPECT, MemberState.JOINING}
)


@define(eq=False)
class DomainBalancers:
    """Live balancers of one failure domain.

    Attributes:
        name: Region and failure domain.
        hash_seed: Hash of the name, the seed of the domain's rank hashes.
        balancers: The balancers, ordered by id.
        hash_seeds: Hash of each balancer's id, the seed of its rank hashes.
    """

    name: str
    hash_seed: int
    balancers: list[Member] = field(factory=list)
    hash_seeds: list[int] = field(factory=list)


def _hash_seed_of(text: str) -> int:
    return int(xxhash.xxh3_64_intdigest(text.encode()))


class WatcherAssignment:
    """Computes the watchers of members for one set of balancers."""

    def __init__(self, members: Iterable[Member]) -> None:
        """Indexes the balancers.

        Args:
            members: Known members; all but live balancers are ignored.
        """
        self._domains_by_region: dict[str, dict[str, DomainBalancers]] = {}
        self._all_domains: dict[str, DomainBalancers] = {}
        balancers = (
            member
            for member in members
            if member.role is Role.BALANCER and member.state in WATCHING_STATES
        )
        for balancer in sorted(balancers, key=lambda member: member.member_id):
            self._add(balancer)

    def watchers_of(self, member: Member) -> tuple[Member, ...]:
        """Returns a member's watchers.

        Args:
            member: The member; it never watches itself.

        Returns:
            Up to WATCHER_COUNT balancers, in the order of the ranked domains.
        """
        key = member.member_id.encode()
        watchers: list[Member] = []
        for domain, quota in self._quotas(member, key):
            watchers += self.rank_balancers(domain, member.member_id, key)[:quota]
        return tuple(watchers)

    def is_watcher(self, balancer: Member, member: Member) -> bool:
        """Returns whether a balancer watches a member.

        Only the balancers of the balancer's own domain are ranked.

        Args:
            balancer: The balancer.
            member: The member.

        Returns:
            Whether the balancer is one of the member's watchers.
        """
        key = member.member_id.encode()
        for domain, quota in self._quotas(member, key):
            if domain.name != domain_of(balancer):
                continue
            ranked = self.rank_balancers(domain, member.member_id, key)[:quota]
            return any(watcher.member_id == balancer.member_id for watcher in ranked)
        return False

    def assignment_key(self, balancer: Member) -> object:
        """Returns a key of all that determines which members a balancer watches.

        Args:
            balancer: The balancer.

        Returns:
            A value that stays equal while these members can't have changed.
        """
        own_name = domain_of(balancer)
        own = self._all_domains.get(own_name)
        ids = tuple(peer.member_id for peer in own.balancers) if own else ()
        return (tuple(sorted(self._all_domains)), ids)

    def rank_balancers(
        self, domain: DomainBalancers, own_id: str, key: bytes
    ) -> list[Member]:
        """Ranks the balancers of one failure domain for a member.

        Args:
            domain: The failure domain.
            own_id: The member's id; the member itself is left out.
            key: The member's id as bytes.

        Returns:
            The first WATCHER_COUNT.
        """
        digest = xxhash.xxh3_64_intdigest
        scored = [
            (digest(key, hash_seed), balancer)
            for hash_seed, balancer in zip(
                domain.hash_seeds, domain.balancers, strict=True
            )
            if balancer.member_id != own_id
        ]
        ranked = []
        for _ in range(min(WATCHER_COUNT, len(scored))):
            highest = max(scored, key=lambda pair: pair[0])
            scored.remove(highest)
            ranked.append(highest[1])
        return ranked

    def _add(self, balancer: Member) -> None:
        name = domain_of(balancer)
        domains = self._domains_by_region.setdefault(balancer.region, {})
        domain = domains.get(name)
        if domain is None:
            domain = domains[name] = DomainBalancers(
                name=name, hash_seed=_hash_seed_of(name)
            )
            self._all_domains[name] = domain
        domain.balancers.append(balancer)
        domain.hash_seeds.append(_hash_seed_of(balancer.member_id))

    def _quotas(self, member: Member, key: bytes) -> list[tuple[DomainBalancers, int]]:
        domains = self._domains_by_region.get(member.region, self._all_domains)
        digest = xxhash.xxh3_64_intdigest
        ranked = sorted(
            domains.values(),
            key=lambda domain: digest(key, domain.hash_seed),
            reverse=True,
        )
        count = len(ranked)
        return [
            (domain, (WATCHER_COUNT - rank + count - 1) // count)
            for rank, domain in enumerate(ranked[:WATCHER_COUNT])
        ]
