"""Which balancers a balancer sends news to: a graph in failure-domain order.

Within a failure domain every balancer stands on two rings, each in the order of a
differently salted hash, and is linked to its neighbours on both. Two rings keep the
graph whole when any one balancer is missing, and news crosses a domain of a hundred
in a few hops. Between two domains of a region, and between two regions, a few
balancers chosen by rendezvous hold links: news crosses each border a few times,
however many balancers there are.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from siskinshift.membership.assignment import WATCHING_STATES
from siskinshift.messages.core import Role


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.messages.core import Member


RING_COUNT = 2
DOMAIN_LINKS = 2
REGION_LINKS = 3


def neighbours_of(own: Member, members: Iterable[Member]) -> tuple[Member, ...]:
    """Names the balancers that a balancer is linked to.

    Links are mutual: each end names the other when both know the same balancers.

    Args:
        own: The balancer itself.
        members: Known members; others than live balancers are passed over.

    Returns:
        The neighbours, ordered by id.
    """
    balancers = [
        member
        for member in members
        if member.role is Role.BALANCER
        and member.state in WATCHING_STATES
        and member.member_id != own.member_id
    ]
    balancers.append(own)
    neighbours_by_id: dict[str, Member] = {}
    for member in (
        *_ring_neighbours(own, balancers),
        *_domain_neighbours(own, balancers),
        *_region_neighbours(own, balancers),
    ):
        neighbours_by_id[member.member_id] = member
    neighbours_by_id.pop(own.member_id, None)
    return tuple(neighbours_by_id[key] for key in sorted(neighbours_by_id))


def _score(member: Member, salt: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{salt}\n{member.member_id}".encode()))


def _ring_neighbours(own: Member, balancers: list[Member]) -> list[Member]:
    near = [
        member
        for member in balancers
        if member.region == own.region and member.failure_domain == own.failure_domain
    ]
    neighbours = []
    for ring in range(RING_COUNT):
        order = sorted(near, key=lambda member, ring=ring: _score(member, str(ring)))  # type: ignore[misc]
        place = next(i for i, one in enumerate(order) if one is own)
        neighbours += [order[place - 1], order[(place + 1) % len(order)]]
    return neighbours


def _domain_neighbours(own: Member, balancers: list[Member]) -> list[Member]:
    by_domain: dict[str, list[Member]] = {}
    for member in balancers:
        if member.region == own.region:
            by_domain.setdefault(member.failure_domain, []).append(member)
    here = by_domain.pop(own.failure_domain)
    neighbours = []
    for domain, there in by_domain.items():
        border = "|".join(sorted((own.failure_domain, domain)))
        neighbours += _across(own, here, there, f"{own.region}|{border}", DOMAIN_LINKS)
    return neighbours


def _region_neighbours(own: Member, balancers: list[Member]) -> list[Member]:
    by_region: dict[str, list[Member]] = {}
    for member in balancers:
        by_region.setdefault(member.region, []).append(member)
    here = by_region.pop(own.region)
    neighbours = []
    for region, there in by_region.items():
        border = "|".join(sorted((own.region, region)))
        neighbours += _across(own, here, there, border, REGION_LINKS)
    return neighbours


def _across(
    own: Member, here: list[Member], there: list[Member], border: str, count: int
) -> list[Member]:
    holders = _holders(here, border, count)
    if own not in holders:
        return []
    others = _holders(there, border, count)
    # Sides of unequal size: the holders of the smaller one take several links.
    place = holders.index(own)
    links = max(len(holders), len(others))
    return [
        others[link % len(others)]
        for link in range(links)
        if link % len(holders) == place
    ]


def _holders(members: list[Member], border: str, count: int) -> list[Member]:
    return sorted(members, key=lambda member: _score(member, border))[:count]
