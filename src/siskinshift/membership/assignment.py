"""Which balancers watch a member: rendezvous hashing over failure domains.

The region of the member is asked first, so that a cut between regions silences
nobody. Its failure domains are ranked by rendezvous and the watchers are dealt
round over them; within a domain the balancers are ranked by rendezvous again.
Every process with the same balancers in view names the same watchers, and a
change of one balancer moves only what that balancer watched or now watches.
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
        seed: Hash of the name.
        balancers: The balancers, ordered by id.
        seeds: Hash of each one's id.
    """

    name: str
    seed: int
    balancers: list[Member] = field(factory=list)
    seeds: list[int] = field(factory=list)


def _seed_of(text: str) -> int:
    return int(xxhash.xxh3_64_intdigest(text.encode()))


class WatcherAssignment:
    """Names the watchers of members for one set of balancers."""

    def __init__(self, members: Iterable[Member]) -> None:
        """Indexes the balancers.

        Args:
            members: Known members; others than live balancers are passed over.
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
        """Names a member's watchers.

        Args:
            member: The member; it never watches itself.

        Returns:
            Up to WATCHER_COUNT balancers, the first domain's first.
        """
        key = member.member_id.encode()
        watchers: list[Member] = []
        for domain, quota in self._quotas(member, key):
            watchers += self.ranked(domain, member.member_id, key)[:quota]
        return tuple(watchers)

    def watches(self, balancer: Member, member: Member) -> bool:
        """Tells whether a balancer is a member's watcher, without ranking all.

        Args:
            balancer: The balancer.
            member: The member.

        Returns:
            Whether it is.
        """
        key = member.member_id.encode()
        for domain, quota in self._quotas(member, key):
            if domain.name != domain_of(balancer):
                continue
            ranked = self.ranked(domain, member.member_id, key)[:quota]
            return any(one.member_id == balancer.member_id for one in ranked)
        return False

    def key_for(self, balancer: Member) -> object:
        """Sums up all that a balancer's own part of the watching depends on.

        Args:
            balancer: The balancer.

        Returns:
            A value that is equal while the part can't have changed.
        """
        own_name = domain_of(balancer)
        own = self._all_domains.get(own_name)
        ids = tuple(one.member_id for one in own.balancers) if own else ()
        return (tuple(sorted(self._all_domains)), ids)

    def ranked(self, domain: DomainBalancers, own_id: str, key: bytes) -> list[Member]:
        """Ranks the balancers of one failure domain for a member.

        Args:
            domain: The failure domain.
            own_id: The member's id; it is left out.
            key: The same as bytes.

        Returns:
            The first WATCHER_COUNT.
        """
        digest = xxhash.xxh3_64_intdigest
        scored = [
            (digest(key, seed), balancer)
            for seed, balancer in zip(domain.seeds, domain.balancers, strict=True)
            if balancer.member_id != own_id
        ]
        best = []
        for _ in range(min(WATCHER_COUNT, len(scored))):
            top = max(scored, key=lambda pair: pair[0])
            scored.remove(top)
            best.append(top[1])
        return best

    def _add(self, balancer: Member) -> None:
        name = domain_of(balancer)
        domains = self._domains_by_region.setdefault(balancer.region, {})
        domain = domains.get(name)
        if domain is None:
            domain = domains[name] = DomainBalancers(name=name, seed=_seed_of(name))
            self._all_domains[name] = domain
        domain.balancers.append(balancer)
        domain.seeds.append(_seed_of(balancer.member_id))

    def _quotas(self, member: Member, key: bytes) -> list[tuple[DomainBalancers, int]]:
        domains = self._domains_by_region.get(member.region, self._all_domains)
        digest = xxhash.xxh3_64_intdigest
        ranked = sorted(
            domains.values(), key=lambda domain: digest(key, domain.seed), reverse=True
        )
        count = len(ranked)
        return [
            (domain, (WATCHER_COUNT - rank + count - 1) // count)
            for rank, domain in enumerate(ranked[:WATCHER_COUNT])
        ]
