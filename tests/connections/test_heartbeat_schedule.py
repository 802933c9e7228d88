"""Tests of the schedule of heartbeats to peers."""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise

import pytest

from siskinshift.connections.fleet import DELAY_ALLOWANCE_SECONDS
from siskinshift.connections.fleet import MIN_HEARTBEAT_INTERVAL_SECONDS
from siskinshift.connections.fleet import Peer
from siskinshift.connections.heartbeat_schedule import REMOTE_BATCH_INTERVAL_SECONDS
from siskinshift.connections.heartbeat_schedule import HeartbeatSchedule
from siskinshift.connections.peer_codec import encode_peer_heartbeat
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import PeerHeartbeat
from siskinshift.messages.core import Role
from tests.connections.builders import agents
from tests.connections.builders import fleet_of
from tests.connections.builders import member


STEP_SECONDS = 0.05
# Size of a planned fleet, budget of a node for control traffic, and headers of a
# datagram.
BALANCERS = 810
AGENTS = 5800
DOMAINS = 8
CONTROL_BYTES_PER_SECOND = 21_000
HEADER_BYTES = 28


def _peers(count: int, *, domains: int) -> list[Peer]:
    return [
        Peer(
            member(f"b-{number}", role=Role.BALANCER, domain=f"d{number % domains}"),
            ("10.0.0.9", number),
        )
        for number in range(count)
    ]


def _heartbeats_by_id(
    peers: list[Peer], *, seconds: float
) -> dict[str, list[tuple[float, float]]]:
    """Returns the heartbeats of a node of domain d0: time and announced interval."""
    schedule = HeartbeatSchedule(
        failure_domain="d0", interval=MIN_HEARTBEAT_INTERVAL_SECONDS
    )
    heartbeats_by_id: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for step in range(round(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if now < schedule.next_due:
            continue
        for batch in schedule.due(peers, now=now):
            for peer in batch.peers:
                heartbeats_by_id[peer.member.member_id].append(
                    (now, batch.next_heartbeat_within)
                )
    return heartbeats_by_id


@pytest.mark.parametrize(
    ("count", "domains"), [(1, 1), (5, 3), (23, 3), (59, 5), (300, 5), (BALANCERS, 8)]
)
def test_each_peer_gets_the_next_heartbeat_within_the_announced_interval(
    count: int, domains: int
) -> None:
    peers = _peers(count, domains=domains)
    heartbeats_by_id = _heartbeats_by_id(peers, seconds=150.0)

    assert heartbeats_by_id.keys() == {peer.member.member_id for peer in peers}
    for heartbeats in heartbeats_by_id.values():
        for (at, announced), (following, _) in pairwise(heartbeats):
            late = REMOTE_BATCH_INTERVAL_SECONDS + STEP_SECONDS
            assert following - at <= announced + late


def test_few_peers_get_two_heartbeats_a_second() -> None:
    """Guards against slower failure detection in a fleet of a dozen balancers."""
    heartbeats_by_id = _heartbeats_by_id(_peers(12, domains=2), seconds=20.0)

    assert all(len(heartbeats) >= 38 for heartbeats in heartbeats_by_id.values())


def test_peers_of_the_own_domain_get_more_heartbeats() -> None:
    """Guards against outdated loads of local agents in a fleet of five domains."""
    heartbeats_by_id = _heartbeats_by_id(_peers(60, domains=5), seconds=20.0)

    local = [
        len(heartbeats)
        for name, heartbeats in heartbeats_by_id.items()
        if int(name[2:]) % 5 == 0
    ]
    remote = [
        len(heartbeats)
        for name, heartbeats in heartbeats_by_id.items()
        if int(name[2:]) % 5
    ]
    assert min(local) >= 38
    assert 4 <= min(remote) <= max(remote) <= 6


def test_received_heartbeats_do_not_grow_with_the_fleet() -> None:
    """Guards against heartbeats of 5,800 agents to each of 810 balancers at 2 Hz.

    A balancer received 11,600 messages a second, 570 KB, far more than a node's budget
    for control traffic.
    """
    heartbeats_by_id = _heartbeats_by_id(
        _peers(BALANCERS, domains=DOMAINS), seconds=60.0
    )

    sent_per_second = (
        sum(len(heartbeats) for heartbeats in heartbeats_by_id.values()) / 60.0
    )
    size = HEADER_BYTES + len(
        encode_peer_heartbeat(PeerHeartbeat(1, 1, Load(), 1, 60.0))
    )
    received = sent_per_second * (AGENTS / BALANCERS + 1) * size
    assert received < CONTROL_BYTES_PER_SECOND


def test_a_peer_with_a_long_interval_is_not_unresponsive_early() -> None:
    """An agent of another failure domain sends a heartbeat each four seconds.

    With the 2.6 s that apply to local agents it would count as unresponsive, receive
    neither new flows nor owner queries, and its open flows could be reset.
    """
    fleet = fleet_of(*agents(1), now=0.0)
    peer = fleet.peers_by_id["editor-1"]
    fleet.handle_heartbeat(peer, PeerHeartbeat(1, 1, Load(), 0, 4.0), now=0.0)

    assert not peer.is_unresponsive(now=20.0)
    assert fleet.remove_unresponsive(now=20.0) == []
    assert peer.is_unresponsive(now=20.0 + 2 * DELAY_ALLOWANCE_SECONDS)


def test_an_announced_interval_of_zero_is_not_applied() -> None:
    """A peer with a wrong clock or a broken message announces an interval of 0 s."""
    fleet = fleet_of(*agents(1), now=0.0)
    peer = fleet.peers_by_id["editor-1"]
    fleet.handle_heartbeat(peer, PeerHeartbeat(1, 1, Load(), 0, 0.0), now=0.0)

    assert not peer.is_unresponsive(now=5 * MIN_HEARTBEAT_INTERVAL_SECONDS)
