"""Chooses the balancers that a balancer sends updates to.

Within a failure domain every balancer is on two rings, each ordered by a differently
salted hash, and is linked to its neighbours on both. Two rings keep the graph
connected when any one balancer is missing, and an update crosses a domain of a
hundred in a few hops. Between two domains of a region, and between two regions, a
few gateways chosen by rendezvous hashing are linked: an update crosses each such
border a few times, however many balancers exist.
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
    """Returns the balancers that a balancer is linked to.

    Links are mutual: when both ends have the same balancers in their tables, each
    is a neighbour of the other.

    Args:
        own: The balancer itself.
        members: Known members; all but live balancers are ignored.

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
    local = [
        member
        for member in balancers
        if member.region == own.region and member.failure_domain == own.failure_domain
    ]
    neighbours = []
    for ring in range(RING_COUNT):
        order = sorted(local, key=lambda member, ring=ring: _score(member, str(ring)))  # type: ignore[misc]
        index = next(i for i, member in enumerate(order) if member is own)
        neighbours += [order[index - 1], order[(index + 1) % len(order)]]
    return neighbours


def _domain_neighbours(own: Member, balancers: list[Member]) -> list[Member]:
    balancers_by_domain: dict[str, list[Member]] = {}
    for member in balancers:
        if member.region == own.region:
            balancers_by_domain.setdefault(member.failure_domain, []).append(member)
    own_side = balancers_by_domain.pop(own.failure_domain)
    neighbours = []
    for domain, other_side in balancers_by_domain.items():
        pair_key = "|".join(sorted((own.failure_domain, domain)))
        neighbours += _gateway_neighbours(
            own, own_side, other_side, f"{own.region}|{pair_key}", DOMAIN_LINKS
        )
    return neighbours


def _region_neighbours(own: Member, balancers: list[Member]) -> list[Member]:
    balancers_by_region: dict[str, list[Member]] = {}
    for member in balancers:
        balancers_by_region.setdefault(member.region, []).append(member)
    own_side = balancers_by_region.pop(own.region)
    neighbours = []
    for region, other_side in balancers_by_region.items():
        pair_key = "|".join(sorted((own.region, region)))
        neighbours += _gateway_neighbours(
            own, own_side, other_side, pair_key, REGION_LINKS
        )
    return neighbours


def _gateway_neighbours(
    own: Member,
    own_side: list[Member],
    other_side: list[Member],
    pair_key: str,
    count: int,
) -> list[Member]:
    own_gateways = _gateways(own_side, pair_key, count)
    if own not in own_gateways:
        return []
    other_gateways = _gateways(other_side, pair_key, count)
    # With sides of unequal size, each gateway of the smaller side gets several links.
    index = own_gateways.index(own)
    links = max(len(own_gateways), len(other_gateways))
    return [
        other_gateways[link % len(other_gateways)]
        for link in range(links)
        if link % len(own_gateways) == index
    ]


def _gateways(members: list[Member], pair_key: str, count: int) -> list[Member]:
    return sorted(members, key=lambda member: _score(member, pair_key))[:count]
