"""Tests of the state that heartbeats give an upstream."""

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


def test_a_delayed_heartbeat_of_an_ended_incarnation_is_ignored() -> None:
    """A partition delayed a heartbeat whose sender has crashed since.

    It must not replace the new incarnation at the same address.
    """
    upstream = ready_upstream(upstream_id="old")
    assert upstream.on_heartbeat(heartbeat("new"), now=1.0) is HeartbeatEffect.REPLACED

    late = heartbeat("old", sequence=9, is_leaving=True)
    assert upstream.on_heartbeat(late, now=1.1) is HeartbeatEffect.IGNORED
    assert upstream.upstream_id == "new"
    assert upstream.accepts(now=1.1)


def test_a_late_heartbeat_does_not_revert_the_leaving_state() -> None:
    upstream = ready_upstream()
    leaving = heartbeat(sequence=5, is_leaving=True)
    assert upstream.on_heartbeat(leaving, now=0.1) is HeartbeatEffect.CHANGED

    upstream.on_heartbeat(heartbeat(sequence=4), now=0.2)
    upstream.on_heartbeat(heartbeat(sequence=6), now=0.3)

    assert upstream.state(now=0.3) is MemberState.DRAINING


def test_an_unresponsive_upstream_gets_no_new_flows_until_its_next_heartbeat() -> None:
    upstream = ready_upstream()
    unresponsive_at = MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS + 0.01

    assert upstream.accepts(now=unresponsive_at - 0.02)
    assert upstream.state(now=unresponsive_at) is MemberState.JOINING
    upstream.on_heartbeat(heartbeat(sequence=2), now=unresponsive_at)
    assert upstream.accepts(now=unresponsive_at)


def test_an_ended_upstream_accepts_no_flows_and_its_successor_does() -> None:
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


def test_a_reachable_upstream_accepts_flows_before_its_first_heartbeat() -> None:
    """All instances and callers return at once after a power failure.

    The upstreams' first heartbeats reached no agent, and the next ones follow after
    most of a second. Until then opening packets would be refused beside free upstreams.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    assert upstream.state(now=10.0) is MemberState.JOINING

    upstream.on_reachable(now=10.0)
    assert not upstream.accepts(now=10.0)
    upstream.on_leaves_read(frozenset(), now=10.0)

    assert upstream.accepts(now=10.0)
    assert upstream.weight(now=10.0) == COLD_WEIGHT
    unresponsive_at = 10.0 + MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS + 0.01
    assert upstream.state(now=unresponsive_at) is MemberState.JOINING


def test_flows_can_be_verified_with_a_leaving_upstream() -> None:
    """An agent restarts beside a leaving upstream and reads the flow snapshot.

    Flows that the upstream has lost must be reset although it accepts no new ones.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    assert not upstream.can_verify_flows(now=1.0)
    upstream.on_reachable(now=1.0)
    assert upstream.can_verify_flows(now=1.0)

    upstream.on_heartbeat(heartbeat(is_leaving=True), now=1.1)

    assert not upstream.accepts(now=1.1)
    assert upstream.can_verify_flows(now=1.1)


def test_a_reachable_process_does_not_revert_the_leaving_state() -> None:
    """An agent restarts while its upstream leaves; the deregistration arrives first.

    The agent has no incarnation yet, so the one that ends is the current one.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_reachable(now=1.0)

    assert upstream.on_deregistration(Incarnation("u-1"))
    upstream.on_reachable(now=1.1)

    assert upstream.state(now=1.1) is MemberState.DRAINING
    assert upstream.is_gone


def test_a_restart_with_the_same_id_is_accepted_at_once() -> None:
    """An upstream crashes after many heartbeats and restarts with the same id.

    Its sequence numbers restart. If they were compared with the earlier ones, each
    heartbeat would count as old, and a free upstream would get no flow.
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


def test_a_restart_with_the_same_id_clears_the_leaving_state() -> None:
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(started_ms=1000, is_leaving=True), now=0.0)

    upstream.on_heartbeat(heartbeat(started_ms=2000), now=1.0)

    assert upstream.accepts(now=1.0)


def test_a_delayed_deregistration_does_not_end_the_current_incarnation() -> None:
    """An upstream ends and restarts with its id; its deregistration is delayed.

    It arrives after the new start's first heartbeat. Applied to that start, it would
    permanently keep new flows from a live upstream.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(started_ms=2000), now=0.0)

    assert not upstream.on_deregistration(Incarnation("u-1", 1000))
    assert not upstream.on_deregistration(Incarnation("u-1"))
    assert upstream.accepts(now=0.1)
    assert not upstream.is_gone


def test_a_deregistration_without_a_start_time_applies_after_leaving() -> None:
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(started_ms=2000, is_leaving=True), now=0.0)

    assert upstream.on_deregistration(Incarnation("u-1"))
    assert upstream.is_gone
    late = heartbeat(sequence=2, started_ms=2000)
    assert upstream.on_heartbeat(late, now=0.1) is HeartbeatEffect.NONE
    assert upstream.is_gone


def test_an_earlier_start_time_is_accepted_once_the_other_start_is_unresponsive() -> (
    None
):
    """The wall clock jumps back; an upstream crashes and restarts with the same id.

    Its start time is earlier than the previous one. Its heartbeats are ignored while
    the other start might still send, and accepted after three heartbeats.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(sequence=7, started_ms=5000), now=0.0)
    unresponsive_at = MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS

    behind = heartbeat(sequence=1, started_ms=3000)
    assert (
        upstream.on_heartbeat(behind, now=unresponsive_at - 0.1)
        is HeartbeatEffect.IGNORED
    )
    behind = heartbeat(sequence=2, started_ms=3000)
    assert (
        upstream.on_heartbeat(behind, now=unresponsive_at + 0.1)
        is HeartbeatEffect.REPLACED
    )
    assert upstream.accepts(now=unresponsive_at + 0.1)


def test_a_heartbeat_without_a_start_time_is_ignored_after_one_with_it() -> None:
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(sequence=1, started_ms=5000), now=0.0)

    foreign = heartbeat(sequence=2, is_leaving=True)
    assert upstream.on_heartbeat(foreign, now=0.1) is HeartbeatEffect.IGNORED
    assert upstream.accepts(now=0.1)


def test_a_heartbeat_of_another_service_is_ignored() -> None:
    """A process that is not this instance's upstream sends heartbeats to its agent.

    Balancers send flows of the service in the settings, and all would be refused.
    """
    upstream = ready_upstream()
    foreign = heartbeat("u-2", service="dossiers")

    assert upstream.on_heartbeat(foreign, now=0.1) is HeartbeatEffect.IGNORED
    assert upstream.upstream_id == "u-1"
    assert upstream.service_id == "editor"


def test_heartbeats_of_a_leaving_upstream_are_counted() -> None:
    """Guards against a leaving upstream whose silence no log line shows."""
    upstream = ready_upstream()
    upstream.on_heartbeat(heartbeat(sequence=2, is_leaving=True), now=1.0)
    assert upstream.leaving_since == 1.0
    assert upstream.leaving_heartbeats == 0

    upstream.on_heartbeat(heartbeat(sequence=3, is_leaving=True), now=2.0)

    assert upstream.leaving_since == 1.0
    assert upstream.leaving_heartbeats == 1
    upstream.on_heartbeat(heartbeat("u-2"), now=5.0)
    assert upstream.leaving_since is None


def test_a_reachable_upstream_without_heartbeats_stops_getting_flows() -> None:
    """Guards against new flows at an upstream that is reachable but may be leaving."""
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    unresponsive_at = MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS + 0.01
    now = 0.0
    while now < unresponsive_at:
        upstream.on_reachable(now=now)
        now += 0.1

    assert not upstream.accepts(now=unresponsive_at)
    upstream.on_heartbeat(heartbeat(), now=now)
    assert upstream.accepts(now=now)


def test_a_delayed_heartbeat_does_not_replace_a_leaving_incarnation() -> None:
    """Guards against new flows at a leaving upstream after a restart of the agent.

    The new process does not know which incarnations have ended before it started.
    """
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat("new", sequence=9, is_leaving=True), now=0.0)

    effect = upstream.on_heartbeat(heartbeat("ended", sequence=30), now=0.1)

    assert effect is HeartbeatEffect.IGNORED
    assert upstream.upstream_id == "new"
    assert upstream.state(now=0.1) is MemberState.DRAINING


def test_a_leaving_incarnation_is_replaced_by_one_that_started_later() -> None:
    """Guards against an upstream that stays idle after the start of its successor."""
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    leaving = heartbeat("old", is_leaving=True, started_ms=1_000)
    upstream.on_heartbeat(leaving, now=0.0)

    effect = upstream.on_heartbeat(heartbeat("new", started_ms=2_000), now=0.1)

    assert effect is HeartbeatEffect.REPLACED
    assert upstream.accepts(now=0.1)


def test_an_unresponsive_leaving_incarnation_is_replaced() -> None:
    """Guards against an upstream that stays idle after its predecessor has crashed."""
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat("old", is_leaving=True), now=0.0)
    unresponsive_at = MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS + 0.01

    effect = upstream.on_heartbeat(heartbeat("new"), now=unresponsive_at)

    assert effect is HeartbeatEffect.REPLACED


def test_a_recorded_leave_lasts_until_another_incarnation_responds() -> None:
    """Guards against new flows at a leaving upstream beside a restarted agent."""
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_reachable(now=0.0)
    upstream.on_leaves_read(frozenset({Incarnation("u-1")}), now=0.0)
    assert upstream.state(now=0.0) is MemberState.DRAINING

    upstream.on_heartbeat(heartbeat("u-1", is_leaving=False), now=0.1)
    assert upstream.state(now=0.1) is MemberState.DRAINING


def test_a_successor_of_a_recorded_leave_gets_flows() -> None:
    """Guards against an idle upstream after its predecessor has left."""
    started_later = UpstreamState(
        service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS
    )
    started_later.on_leaves_read(frozenset({Incarnation("u-1", 1_000)}), now=0.0)
    started_later.on_heartbeat(heartbeat("u-2", started_ms=2_000), now=0.1)
    assert started_later.accepts(now=0.1)

    unknown_start = UpstreamState(
        service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS
    )
    unknown_start.on_leaves_read(frozenset({Incarnation("u-1")}), now=0.0)
    silent_at = MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS + 0.01
    unknown_start.on_heartbeat(heartbeat("u-2"), now=silent_at)
    assert unknown_start.accepts(now=silent_at)


def test_a_delayed_heartbeat_does_not_replace_a_recorded_leave() -> None:
    """Guards against a restarted agent that takes an ended upstream for the current."""
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_leaves_read(frozenset({Incarnation("leaving")}), now=0.0)

    effect = upstream.on_heartbeat(heartbeat("ended"), now=0.1)

    assert effect is HeartbeatEffect.IGNORED
    assert upstream.state(now=0.1) is MemberState.DRAINING


def test_a_leave_in_an_ignored_heartbeat_applies() -> None:
    """Guards against a leave that is acknowledged but lost behind another upstream."""
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat("old", is_leaving=True), now=0.0)
    early = heartbeat("new", sequence=5, is_leaving=True)
    assert upstream.on_heartbeat(early, now=0.1) is HeartbeatEffect.IGNORED

    silent_at = MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS + 0.01
    upstream.on_heartbeat(heartbeat("new", sequence=4), now=silent_at)

    assert upstream.upstream_id == "new"
    assert not upstream.accepts(now=silent_at)


def test_a_record_that_is_read_after_the_first_heartbeat_applies() -> None:
    """Guards against a delayed heartbeat that cancels an acknowledged leave."""
    upstream = ready_upstream(upstream_id="u-1")

    upstream.on_leaves_read(frozenset({Incarnation("u-1")}), now=0.0)

    assert not upstream.accepts(now=0.0)


def test_a_reachable_upstream_gets_no_flow_before_its_leaves_are_read() -> None:
    """Guards against new flows at a leaving upstream after a restart in an outage."""
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_reachable(now=1.0)
    assert not upstream.accepts(now=2.0)

    upstream.on_heartbeat(heartbeat(), now=2.0)
    assert upstream.accepts(now=2.0)


def test_only_a_running_incarnation_is_reported_as_leaving() -> None:
    """Guards against a record of a leave for the successor of the one that leaves."""
    upstream = ready_upstream(upstream_id="u-1")
    assert upstream.leaving_incarnation is None

    upstream.on_heartbeat(heartbeat("u-1", sequence=9, is_leaving=True), now=0.1)
    assert upstream.leaving_incarnation == Incarnation("u-1")

    silent_at = 0.2 + MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS
    upstream.on_heartbeat(heartbeat("u-2", sequence=9), now=silent_at)
    assert upstream.leaving_incarnation is None

    upstream.on_heartbeat(heartbeat("u-2", sequence=10, is_leaving=True), now=silent_at)
    upstream.on_deregistration(Incarnation("u-2"))
    assert upstream.leaving_incarnation is None
