"""Tests of what heartbeats say of an upstream."""

from __future__ import annotations

from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.upstream_state import COLD_WEIGHT
from siskinshift.connections.upstream_state import MAX_MISSED_HEARTBEATS
from siskinshift.connections.upstream_state import HeartbeatEffect
from siskinshift.connections.upstream_state import UpstreamState
from siskinshift.core.members import FULL_WEIGHT
from siskinshift.messages.core import MemberState
from tests.connections.builders import HEARTBEAT_SECONDS
from tests.connections.builders import heartbeat
from tests.connections.builders import ready_upstream


def test_a_late_heartbeat_of_an_ended_incarnation_changes_nothing() -> None:
    """A heartbeat was held up by a partition; its sender has crashed since.

    A new incarnation runs at the same address. The late one must not take its place.
    """
    upstream = ready_upstream(upstream_id="old")
    assert upstream.on_heartbeat(heartbeat("new"), now=1.0) is HeartbeatEffect.REPLACED

    late = heartbeat("old", sequence=9, is_leaving=True)
    assert upstream.on_heartbeat(late, now=1.1) is HeartbeatEffect.IGNORED
    assert upstream.upstream_id == "new"
    assert upstream.accepts(now=1.1)


def test_a_late_heartbeat_of_the_present_one_does_not_undo_that_it_leaves() -> None:
    upstream = ready_upstream()
    leaving = heartbeat(sequence=5, is_leaving=True)
    assert upstream.on_heartbeat(leaving, now=0.1) is HeartbeatEffect.CHANGED

    upstream.on_heartbeat(heartbeat(sequence=4), now=0.2)
    upstream.on_heartbeat(heartbeat(sequence=6), now=0.3)

    assert upstream.state(now=0.3) is MemberState.DRAINING


def test_a_silent_upstream_gets_no_new_flows_until_it_speaks() -> None:
    upstream = ready_upstream()
    silent = MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS + 0.01

    assert upstream.accepts(now=silent - 0.02)
    assert upstream.state(now=silent) is MemberState.JOINING
    upstream.on_heartbeat(heartbeat(sequence=2), now=silent)
    assert upstream.accepts(now=silent)


def test_an_upstream_that_ends_takes_no_flows_and_a_successor_does() -> None:
    upstream = ready_upstream()

    assert upstream.on_deregistration(Incarnation("u-1"))
    assert not upstream.accepts(now=0.0)
    assert upstream.is_gone
    upstream.on_heartbeat(heartbeat("u-2"), now=0.1)
    assert upstream.accepts(now=0.1)
    assert not upstream.is_gone
    assert not upstream.on_deregistration(Incarnation("u-1"))


def test_a_cold_upstream_weighs_less_until_it_is_warm() -> None:
    upstream = ready_upstream()
    upstream.on_heartbeat(heartbeat(sequence=2, cold_seconds=2.0), now=0.0)

    assert upstream.weight(now=1.9) == COLD_WEIGHT
    assert upstream.weight(now=2.1) == FULL_WEIGHT


def test_a_restarted_agents_upstream_takes_flows_before_its_next_heartbeat() -> None:
    """All instances come back from a loss of power, callers come back at once.

    The upstreams' first heartbeats met no agent, the next ones follow after most of a
    second. Until then each opening packet would be turned away beside free upstreams.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    assert upstream.state(now=10.0) is MemberState.JOINING

    upstream.on_reachable(now=10.0)

    assert upstream.accepts(now=10.0)
    assert upstream.weight(now=10.0) == COLD_WEIGHT
    silent = 10.0 + MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS + 0.01
    assert upstream.state(now=silent) is MemberState.JOINING


def test_a_leaving_upstream_is_asked_about_its_flows_all_the_same() -> None:
    """An agent restarts beside an upstream that leaves and reads the list of flows.

    Those that the upstream has lost must be reset although it takes no new ones.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    assert not upstream.can_verify_flows(now=1.0)
    upstream.on_reachable(now=1.0)
    assert upstream.can_verify_flows(now=1.0)

    upstream.on_heartbeat(heartbeat(is_leaving=True), now=1.1)

    assert not upstream.accepts(now=1.1)
    assert upstream.can_verify_flows(now=1.1)


def test_a_sign_of_life_does_not_bring_a_leaving_upstream_back() -> None:
    """An agent restarts while its upstream leaves; the upstream's end comes first.

    The agent knows no incarnation yet, so the one that ends is the present one.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_reachable(now=1.0)

    assert upstream.on_deregistration(Incarnation("u-1"))
    upstream.on_reachable(now=1.1)

    assert upstream.state(now=1.1) is MemberState.DRAINING
    assert upstream.is_gone


def test_an_upstream_that_starts_again_under_its_id_is_heard_at_once() -> None:
    """An upstream crashes after many heartbeats and starts again under its id.

    Its numbers begin anew. Compared with those of before, each would be an old one, and
    a free upstream would get no flow until its count had caught up.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(sequence=900, started_ms=1000), now=0.0)
    again = heartbeat(sequence=1, started_ms=5000, cold_seconds=2.0)

    assert upstream.on_heartbeat(again, now=9.0) is HeartbeatEffect.REPLACED
    assert upstream.accepts(now=9.0)
    assert upstream.weight(now=9.0) == COLD_WEIGHT
    late = heartbeat(sequence=901, started_ms=1000, is_leaving=True)
    assert upstream.on_heartbeat(late, now=9.1) is HeartbeatEffect.IGNORED
    assert upstream.accepts(now=9.1)


def test_leaving_is_forgotten_by_the_next_start_under_the_same_id() -> None:
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(started_ms=1000, is_leaving=True), now=0.0)

    upstream.on_heartbeat(heartbeat(started_ms=2000), now=1.0)

    assert upstream.accepts(now=1.0)


def test_a_late_end_of_the_start_before_does_not_end_the_present_one() -> None:
    """An upstream ends, starts again under its id, and its notice is held up.

    The notice comes after the new start's first heartbeat. Taken for its own, it would
    keep all flows from a living upstream for good.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(started_ms=2000), now=0.0)

    assert not upstream.on_deregistration(Incarnation("u-1", 1000))
    assert not upstream.on_deregistration(Incarnation("u-1"))
    assert upstream.accepts(now=0.1)
    assert not upstream.is_gone


def test_an_end_that_does_not_tell_its_start_counts_after_leaving() -> None:
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(started_ms=2000, is_leaving=True), now=0.0)

    assert upstream.on_deregistration(Incarnation("u-1"))
    assert upstream.is_gone
    late = heartbeat(sequence=2, started_ms=2000)
    assert upstream.on_heartbeat(late, now=0.1) is HeartbeatEffect.NONE
    assert upstream.is_gone


def test_a_start_whose_clock_is_behind_is_believed_when_the_other_is_silent() -> None:
    """The time of day jumps back; an upstream crashes and starts again under its id.

    Its start looks earlier than the one before. Its words are ignored like late ones
    as long as the other might still speak, and believed after three heartbeats.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(sequence=7, started_ms=5000), now=0.0)
    silent = MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS

    behind = heartbeat(sequence=1, started_ms=3000)
    assert upstream.on_heartbeat(behind, now=silent - 0.1) is HeartbeatEffect.IGNORED
    behind = heartbeat(sequence=2, started_ms=3000)
    assert upstream.on_heartbeat(behind, now=silent + 0.1) is HeartbeatEffect.REPLACED
    assert upstream.accepts(now=silent + 0.1)


def test_a_word_without_a_start_is_not_the_word_of_one_that_tells_it() -> None:
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(sequence=1, started_ms=5000), now=0.0)

    foreign = heartbeat(sequence=2, is_leaving=True)
    assert upstream.on_heartbeat(foreign, now=0.1) is HeartbeatEffect.IGNORED
    assert upstream.accepts(now=0.1)


def test_a_heartbeat_of_another_service_does_not_take_the_upstreams_place() -> None:
    """A writer that is not this instance's upstream names itself at its agent.

    Balancers send flows of the service of the settings: all of them would be refused.
    """
    upstream = ready_upstream()
    foreign = heartbeat("u-2", service="dossiers")

    assert upstream.on_heartbeat(foreign, now=0.1) is HeartbeatEffect.IGNORED
    assert upstream.upstream_id == "u-1"
    assert upstream.service_id == "editor"
