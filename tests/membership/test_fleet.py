"""Tests of members that join, fail, leave and rejoin, on a simulated network."""

from __future__ import annotations

from siskinshift.membership.balancer import BalancerMembership
from siskinshift.messages.core import MemberState
from tests.membership.fleet import Fleet


def started_fleet(*, balancers_per_domain: int = 2, seed: int = 1) -> Fleet:
    fleet = Fleet(balancers_per_domain=balancers_per_domain, seed=seed)
    fleet.run(8.0)
    assert fleet.disagreements() == []
    return fleet


def test_a_fleet_that_starts_at_once_converges() -> None:
    fleet = started_fleet()

    for agent_id in ("a-0", "a-1", "a-2"):
        watching = [
            balancer
            for balancer in fleet.live_balancers
            if isinstance(balancer.participant, BalancerMembership)
            and agent_id in balancer.participant.watched_ids
        ]
        region = fleet.processes_by_id[agent_id].region
        assert {balancer.region for balancer in watching} == {region}
        assert len(watching) == 3
        assert len({balancer.domain for balancer in watching}) == 2


def test_a_dead_agent_leaves_every_view_within_three_seconds() -> None:
    # A caller's new flow must not go to an upstream whose instance lost power. Its
    # heartbeats stop without a shutdown message, so only the timeout detects it.
    fleet = started_fleet()

    fleet.kill("a-1")
    fleet.run(3.0)

    assert {fleet.state_seen(balancer, "a-1") for balancer in fleet.live_balancers} == {
        MemberState.GONE
    }


def test_a_leaving_agent_is_gone_at_once() -> None:
    fleet = started_fleet()

    fleet.change("a-1", MemberState.GONE, 0)
    fleet.run(0.3)

    assert {fleet.state_seen(balancer, "a-1") for balancer in fleet.live_balancers} == {
        MemberState.GONE
    }


def test_a_restart_replaces_the_old_incarnation_at_once() -> None:
    # An agent restarts before its failure is detected. Its old state must be replaced,
    # or callers' packets are sent to a closed data port.
    fleet = started_fleet()

    fleet.restart("a-1")
    fleet.run(1.0)

    own = fleet.processes_by_id["a-1"].participant.own
    for balancer in fleet.live_balancers:
        assert balancer.participant.table.members_by_id["a-1"] == own


def test_a_wrongly_expelled_member_refutes_at_once() -> None:
    # A healthy upstream gets no new flows because its watchers expelled it. The reply
    # to its next heartbeat has the gone state, and the member raises its version above.
    fleet = started_fleet()
    agent = fleet.processes_by_id["a-1"]
    fleet.queue.loss = 1.0
    fleet.run(2.6)
    fleet.queue.loss = 0.0

    fleet.run(2.5)

    assert fleet.disagreements() == []
    assert agent.participant.own.state is MemberState.READY


def test_partitioned_regions_keep_running_and_merge() -> None:
    # A partition between regions lasts two minutes. Meanwhile agents stop and drain,
    # and one balancer of each region restarts and has no state of the other region.
    fleet = started_fleet()
    fleet.queue.cut.add("south")

    fleet.run(30.0)
    fleet.restart("b-south-fd-1-0")
    fleet.restart("b-north-fd-2-1")
    fleet.kill("a-0")
    fleet.change("a-3", MemberState.DRAINING, 0)
    fleet.run(90.0)
    fleet.queue.cut.clear()
    fleet.run(20.0)

    assert fleet.disagreements() == []


def test_no_member_of_a_briefly_partitioned_domain_is_expelled() -> None:
    # A switch fault cuts off a failure domain for four seconds. Expelling all its
    # members would move most flows twice.
    fleet = started_fleet(balancers_per_domain=6)

    fleet.queue.cut.add("north/fd-1")
    fleet.run(4.0)
    expelled_in_cut = sum(
        balancer.participant.expelled_count
        for balancer in fleet.live_balancers
        if isinstance(balancer.participant, BalancerMembership)
    )
    fleet.queue.cut.clear()
    fleet.run(10.0)

    assert expelled_in_cut == 0
    assert fleet.disagreements() == []


def test_a_paused_balancer_expels_no_member() -> None:
    # An instance is frozen by its host for half a minute. When it resumes, every
    # member that it watches is past the timeouts because of its own pause.
    fleet = started_fleet(balancers_per_domain=3)
    paused = fleet.processes_by_id["b-north-fd-1-0"]
    paused.stopped_until = fleet.queue.now + 30.0

    fleet.run(40.0)

    assert isinstance(paused.participant, BalancerMembership)
    assert paused.participant.expelled_count == 0
    assert fleet.disagreements() == []


def test_a_service_change_reaches_all_balancers_despite_loss() -> None:
    fleet = started_fleet(balancers_per_domain=6)
    fleet.queue.loss = 0.1

    fleet.write_service(fleet.processes_by_id["b-south-fd-2-0"], "editor")
    fleet.run(1.0)

    revisions = {
        balancer.participant.table.services.services_by_id["editor"].revision
        for balancer in fleet.live_balancers
    }
    assert revisions == {1}
