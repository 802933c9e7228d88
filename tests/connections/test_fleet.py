"""Tests of the peers that a node tracks."""

from __future__ import annotations

import attrs

from siskinshift.connections.fleet import HELLO_INTERVAL_SECONDS
from siskinshift.connections.fleet import REMOVE_AFTER_SECONDS
from siskinshift.connections.fleet import REPLY_TIMEOUT_SECONDS
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import PeerHeartbeat
from siskinshift.connections.peer_messages import Status
from siskinshift.messages.core import MemberState
from tests.connections.builders import UNRESPONSIVE_AFTER_SECONDS
from tests.connections.builders import agents
from tests.connections.builders import fleet_of
from tests.connections.builders import member


def test_a_responsive_peer_remains_without_an_entry() -> None:
    """Guards against losing a running agent whose entry the store silently dropped.

    The agent continues to send heartbeats, and its flows must continue to reach it.
    """
    fleet = fleet_of(*agents(1), now=0.0)
    fleet.apply_registrations(agents(1), now=0.0)
    fleet.apply_registrations([], now=1.0)

    for tick in range(20):
        now = 1.0 + tick
        fleet.handle_status(Status(agents(1)[0], Load()), now=now)
        assert fleet.remove_unresponsive(now=now) == []
        assert not fleet.peers_by_id["editor-1"].is_unresponsive(now=now)


def test_a_peer_without_entry_and_messages_is_removed() -> None:
    fleet = fleet_of(*agents(1), now=0.0)
    assert not fleet.has_unresponsive(now=UNRESPONSIVE_AFTER_SECONDS)
    assert fleet.has_unresponsive(now=UNRESPONSIVE_AFTER_SECONDS + 0.1)
    fleet.apply_registrations([], now=UNRESPONSIVE_AFTER_SECONDS + 0.1)
    assert not fleet.has_unresponsive(now=UNRESPONSIVE_AFTER_SECONDS + 0.2)

    assert fleet.remove_unresponsive(now=REMOVE_AFTER_SECONDS) == []
    assert len(fleet.remove_unresponsive(now=REMOVE_AFTER_SECONDS + 0.1)) == 1
    assert fleet.agents_of("editor") == []


def test_a_registered_unresponsive_peer_is_not_removed() -> None:
    fleet = fleet_of(*agents(1), now=0.0)
    now = UNRESPONSIVE_AFTER_SECONDS + 0.1
    fleet.apply_registrations(agents(1), now=now)

    assert fleet.peers_by_id["editor-1"].is_unresponsive(now=now)
    assert fleet.remove_unresponsive(now=now + REMOVE_AFTER_SECONDS + 1) == []


def test_a_discovered_peer_has_the_reply_timeout_to_respond() -> None:
    fleet = fleet_of()
    (peer,) = fleet.apply_registrations(agents(1), now=0.0)

    assert not peer.is_unresponsive(now=REPLY_TIMEOUT_SECONDS)
    # Reading the same entry again does not extend the timeout.
    fleet.apply_registrations(agents(1), now=REPLY_TIMEOUT_SECONDS)
    assert peer.is_unresponsive(now=REPLY_TIMEOUT_SECONDS + 0.01)


def test_a_restarted_peer_with_a_lower_incarnation_is_accepted() -> None:
    """Guards against ignoring an agent that restarts after its clock jumped back.

    Its incarnation is lower than before. Its own messages are applied, but an entry in
    the store with a lower incarnation is not.
    """
    old = member("editor-1", incarnation=50, state=MemberState.READY)
    fleet = fleet_of(old)
    restarted = member("editor-1", incarnation=40, state=MemberState.JOINING)

    fleet.apply_registrations([restarted], now=0.0)
    assert fleet.peers_by_id["editor-1"].member == old
    fleet.handle_status(Status(restarted, Load()), now=0.1)
    assert fleet.peers_by_id["editor-1"].member == restarted


def test_an_older_record_of_an_incarnation_does_not_replace_a_newer_one() -> None:
    draining = member("editor-1", version=5, state=MemberState.DRAINING)
    fleet = fleet_of(draining)

    fleet.handle_status(Status(attrs.evolve(draining, version=4), Load()), now=0.1)
    fleet.apply_registrations([member("editor-1", version=1)], now=0.2)

    assert fleet.peers_by_id["editor-1"].member.state is MemberState.DRAINING


def test_a_peer_that_reports_gone_is_removed_at_once() -> None:
    fleet = fleet_of(*agents(2))

    gone = member("editor-1", host="10.0.1.1", version=2, state=MemberState.GONE)
    fleet.handle_status(Status(gone, Load()), now=0.1)

    assert [a.member.member_id for a in fleet.agents_of("editor")] == ["editor-2"]
    assert ("10.0.1.1", 7000) not in fleet.peers_by_address


def test_an_agent_that_changed_service_is_found_by_its_new_service() -> None:
    fleet = fleet_of(member("a-1", service="editor"))

    moved = member("a-1", service="dossiers", incarnation=2)
    fleet.handle_status(Status(moved, Load()), now=0.1)

    assert fleet.agents_of("editor") == []
    assert len(fleet.agents_of("dossiers")) == 1


def test_a_node_is_not_its_own_peer() -> None:
    fleet = fleet_of()

    assert fleet.apply_registrations([member("balancer-1")], now=0.0) == []
    assert fleet.peers_by_id == {}


def test_a_heartbeat_counts_only_for_the_known_record() -> None:
    """Guards against mistaking a restarted agent for its previous process.

    Its first status is lost. Its heartbeat has another incarnation, so the balancer
    requests the full record.
    """
    fleet = fleet_of(*agents(1), now=0.0)
    peer = fleet.peers_by_id["editor-1"]

    assert fleet.handle_heartbeat(
        peer, PeerHeartbeat(1, 1, Load(3, 1), 9, 0.5), now=1.0
    )
    assert (peer.last_seen_at, peer.load, peer.configuration_version) == (
        1.0,
        Load(3, 1),
        9,
    )
    assert not fleet.handle_heartbeat(
        peer, PeerHeartbeat(2, 1, Load(), 9, 0.5), now=2.0
    )
    assert not fleet.handle_heartbeat(
        peer, PeerHeartbeat(1, 2, Load(), 9, 0.5), now=2.0
    )
    assert peer.last_seen_at == 1.0


def test_a_lost_hello_is_sent_again_before_the_peer_is_unresponsive() -> None:
    """Guards against a lost hello of a balancer that starts on a saturated link.

    The agent sends nothing to a balancer that it has not discovered. It was taken for
    unresponsive and left out of the owner lookup, and its flow was reset.
    """
    fleet = fleet_of()
    (peer,) = fleet.apply_registrations(agents(1), now=0.0)
    hello_peers = [
        fleet.unconfirmed(now=n * HELLO_INTERVAL_SECONDS) for n in range(1, 5)
    ]

    assert hello_peers == [[peer]] * 4
    assert not peer.is_unresponsive(now=1.0)
    fleet.handle_status(Status(agents(1)[0], Load()), now=1.1)
    assert fleet.unconfirmed(now=1.2) == []
