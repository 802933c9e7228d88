"""Tests of discovery while the store is unavailable."""

from __future__ import annotations

import attrs

from siskinshift.connections.fleet import DISCOVERY_TIMEOUT_SECONDS
from siskinshift.connections.fleet import REPLY_TIMEOUT_SECONDS
from siskinshift.connections.fleet import Fleet
from siskinshift.connections.peer_codec import MAX_KNOWN_HOSTS
from siskinshift.connections.peer_discovery import MAX_HOSTS
from siskinshift.connections.peer_discovery import PeerDiscovery
from siskinshift.connections.peer_messages import KnownHosts
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import PeerHeartbeat
from siskinshift.connections.peer_messages import Status
from siskinshift.messages.core import Role
from tests.connections.builders import agents
from tests.connections.builders import fleet_of
from tests.connections.builders import member


OWN = member("balancer-1", role=Role.BALANCER, host="10.0.0.1")
SEED = member("balancer-2", role=Role.BALANCER, host="10.0.0.2")


def _starting() -> tuple[Fleet, PeerDiscovery]:
    fleet = fleet_of(is_complete=False)
    return fleet, PeerDiscovery(fleet, own=OWN)


def _seed(count: int, *, is_complete: bool = True) -> PeerDiscovery:
    """Returns the discovery of a seed whose peers are agents and the starting node."""
    fleet = Fleet(SEED, now=0.0)
    if is_complete:
        fleet.apply_registrations([], now=0.0)
    for known in (OWN, *agents(count)):
        fleet.handle_status(Status(known, Load()), now=0.0)
    return PeerDiscovery(fleet, own=SEED)


def test_a_node_that_starts_without_the_store_knows_all_that_replied() -> None:
    """Guards against a slow restart of a balancer during an outage of the store.

    Distant agents send heartbeats only every few seconds, and an owner lookup cannot
    end with a reset until all are known. The seed's list allows hellos to all at once.
    """
    fleet, peer_discovery = _starting()
    count = MAX_KNOWN_HOSTS - 1
    for part in _seed(count).known_hosts_for(OWN, now=0.0):
        peer_discovery.add_hosts(part, SEED.data.host, now=0.0)

    assert len(peer_discovery.hosts_to_contact(now=0.0)) == count
    assert not peer_discovery.is_finished(now=0.0)
    for known in agents(count):
        fleet.handle_status(Status(known, Load()), now=0.01)
    assert peer_discovery.unconfirmed_hosts(now=0.01) == []
    assert peer_discovery.is_finished(now=0.01)


def test_a_host_that_is_already_a_peer_is_sent_one_hello() -> None:
    """Guards against two hellos to nodes that both the store and the seeds list.

    On a link of 20 Mbit/s, two hellos to each of 200 nodes, and the replies, delay
    callers' packets in the first second after a restart of all processes.
    """
    fleet, peer_discovery = _starting()
    for part in _seed(5).known_hosts_for(OWN, now=0.0):
        peer_discovery.add_hosts(part, SEED.data.host, now=0.0)
    fleet.apply_registrations(agents(5), now=0.01)

    assert len(peer_discovery.unconfirmed_hosts(now=0.02)) == 5
    assert peer_discovery.hosts_to_contact(now=0.02) == []


def test_hosts_that_do_not_reply_are_sent_no_hello_after_the_timeout() -> None:
    fleet, peer_discovery = _starting()
    for part in _seed(3).known_hosts_for(OWN, now=0.0):
        peer_discovery.add_hosts(part, SEED.data.host, now=0.0)
    for known in agents(2):
        fleet.handle_status(Status(known, Load()), now=0.01)

    assert peer_discovery.unconfirmed_hosts(now=REPLY_TIMEOUT_SECONDS) == ["10.0.1.3"]
    assert not peer_discovery.is_finished(now=REPLY_TIMEOUT_SECONDS)
    assert peer_discovery.unconfirmed_hosts(now=REPLY_TIMEOUT_SECONDS + 0.1) == []
    assert peer_discovery.is_finished(now=REPLY_TIMEOUT_SECONDS + 0.1)


def test_a_list_with_a_lost_part_is_incomplete() -> None:
    """Guards against a lost datagram of the seed's list with the owner of a flow."""
    _, peer_discovery = _starting()
    first, second = _seed(MAX_KNOWN_HOSTS + 1).known_hosts_for(OWN, now=0.0)
    peer_discovery.add_hosts(first, SEED.data.host, now=0.0)
    # Hosts from another peer do not replace the missing part.
    other = KnownHosts(("10.9.0.1",), count=2, is_complete=True)
    peer_discovery.add_hosts(other, "10.0.0.3", now=0.0)
    late = REPLY_TIMEOUT_SECONDS + 1.0

    assert not peer_discovery.is_finished(now=late)
    peer_discovery.add_hosts(second, SEED.data.host, now=0.0)
    assert peer_discovery.is_finished(now=late)


def test_the_list_of_a_peer_that_has_just_started_is_incomplete() -> None:
    """Guards against trusting seeds that were killed during an outage as well."""
    _, peer_discovery = _starting()
    for part in _seed(1, is_complete=False).known_hosts_for(OWN, now=0.0):
        peer_discovery.add_hosts(part, SEED.data.host, now=0.0)

    assert not peer_discovery.is_finished(now=REPLY_TIMEOUT_SECONDS + 1.0)


def test_hosts_beyond_the_largest_fleet_are_refused() -> None:
    """Guards against a foreign sender that lists hosts without end."""
    _, peer_discovery = _starting()
    accepted = 0
    for number in range(1000):
        hosts = tuple(f"10.{number // 250}.{number % 250}.{i}" for i in range(250))
        part = KnownHosts(hosts, count=9, is_complete=True)
        accepted += peer_discovery.add_hosts(part, "10.0.0.66", now=0.0) * len(hosts)

    assert accepted <= MAX_HOSTS
    assert len(peer_discovery.unconfirmed_hosts(now=0.0)) == accepted


def test_an_agent_is_sent_only_balancers() -> None:
    (part,) = _seed(5).known_hosts_for(agents(1)[0], now=0.0)

    assert part.hosts == (OWN.data.host,)


def test_an_empty_list_is_complete() -> None:
    """In a fleet of two, the only peer of the seed is the starting node."""
    _, peer_discovery = _starting()
    for part in _seed(0).known_hosts_for(OWN, now=0.0):
        peer_discovery.add_hosts(part, SEED.data.host, now=0.0)

    assert peer_discovery.is_finished(now=0.0)


def test_discovery_lasts_for_the_longest_heartbeat_interval() -> None:
    """Guards against treating agents with a heartbeat interval of 4 s as nonexistent.

    If no seed replies, the balancer did so two seconds after its start.
    """
    fleet = fleet_of(*agents(1), is_complete=False)
    peer = fleet.peers_by_id["editor-1"]
    assert not fleet.is_complete(now=DISCOVERY_TIMEOUT_SECONDS - 0.1)
    fleet.handle_heartbeat(peer, PeerHeartbeat(1, 1, Load(), 0, 4.0), now=1.0)

    assert not fleet.is_complete(now=4.0)
    assert fleet.is_complete(now=4.2)


def test_a_read_of_the_store_completes_the_fleet() -> None:
    fleet = fleet_of(is_complete=False)
    fleet.apply_registrations([attrs.evolve(SEED)], now=0.1)

    assert fleet.is_complete(now=0.1)
