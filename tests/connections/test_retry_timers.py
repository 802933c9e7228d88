"""Tests of when an unanswered opening is offered to a second agent."""

from __future__ import annotations

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.egress.departure import Departure
from siskinshift.connections.fleet import Peer
from siskinshift.connections.flow_records import Attempt
from siskinshift.connections.flow_records import FlowRecord
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.retry_timers import MAX_DEPARTURE_SECONDS
from siskinshift.connections.retry_timers import MAX_RETRY_AFTER_SECONDS
from siskinshift.connections.retry_timers import RETRY_AFTER_SECONDS
from siskinshift.connections.retry_timers import RetryTimers
from tests.connections.builders import agents
from tests.connections.builders import balancer_flows
from tests.connections.builders import fleet_of
from tests.connections.builders import flow_of
from tests.connections.builders import member
from tests.connections.builders import opening


# Retransmission of the caller.
RETRANSMITTED_AFTER_SECONDS = 0.2
MAX_TEST_SECONDS = 10.0


def _expires_at(attempt: Attempt, *, left_at: float | None = None) -> float:
    """Returns when the timer of an attempt at 0 expires; it leaves at a given time."""
    timers = RetryTimers()
    timers.add(FlowRecord(flow_of(1)), attempt, now=0.0)
    while (now := timers.next_due) < MAX_TEST_SECONDS:
        if attempt.departure is not None and left_at is not None and left_at <= now:
            attempt.departure.left_at = left_at
        if timers.pop_due(now=now):
            return now
    raise AssertionError("the timer did not expire")


def _attempt(*, round_trip: float = 0.0, is_scheduled: bool = True) -> Attempt:
    agent = Peer(member("a"), ("10.0.1.1", 7000))
    agent.round_trip = round_trip
    return Attempt(agent, departure=Departure() if is_scheduled else None)


def test_the_delay_begins_when_the_opening_leaves() -> None:
    """Guards against second attempts caused by the balancer's own queue.

    A queue of 32 ms and a round trip of 8 ms reached the delay of 40 ms.
    """
    assert _expires_at(_attempt(is_scheduled=False)) == RETRY_AFTER_SECONDS
    assert _expires_at(_attempt(round_trip=0.008), left_at=0.032) >= 0.08
    held = _expires_at(_attempt(round_trip=0.008), left_at=0.3)
    assert 0.348 <= held < 0.3 + 2 * RETRY_AFTER_SECONDS + 0.008


def test_a_departure_that_is_never_recorded_ends_the_wait() -> None:
    """Guards against a timer that repeats for ever and an opening that is stuck.

    The caller's retransmissions are ignored while the opening waits.
    """
    attempt = _attempt()
    expires_at = _expires_at(attempt)
    assert MAX_DEPARTURE_SECONDS <= expires_at < MAX_DEPARTURE_SECONDS + 0.05
    assert attempt.left_at == expires_at


def test_a_dead_agent_is_noticed_before_the_caller_retransmits() -> None:
    """Guards against a long round trip that hides a failed agent."""
    expires_at = _expires_at(_attempt(round_trip=3.0), left_at=0.01)
    assert expires_at <= 0.01 + MAX_RETRY_AFTER_SECONDS
    assert expires_at < 0.6 * RETRANSMITTED_AFTER_SECONDS


def test_a_waiting_opening_is_offered_once_and_its_wait_is_no_round_trip() -> None:
    """Guards against a caller's retransmission that becomes a second attempt."""
    fleet = fleet_of(*agents(2))
    flows = balancer_flows(fleet)
    flows.is_link_scheduled = True
    (offer,) = flows.on_segment(opening(1), now=0.0)
    assert isinstance(offer, ToPeer)
    assert offer.departure is not None
    assert flows.tick(now=0.1) == []
    assert flows.on_segment(opening(1, retransmissions=1), now=0.2) == []

    offer.departure.left_at = 0.3
    agent = fleet.peers_by_address[offer.address]
    verdict = FlowVerdict(Verdict.ACCEPTED, flow_of(1), Load(), b"")
    flows.on_verdict(agent, verdict, now=0.308)
    assert 0.007 < agent.round_trip < 0.009


def test_an_opening_that_this_balancer_drops_is_not_charged_to_the_agent() -> None:
    """Guards against agents suspected for openings that they were never sent.

    The opening is offered again without the retry budget until the caller has given up,
    and at once with the caller's retransmission.
    """
    fleet = fleet_of(*agents(1))
    flows = balancer_flows(fleet)
    flows.is_link_scheduled = True
    (agent,) = fleet.agents()
    actions = list(flows.on_segment(opening(1), now=0.0))
    now, offers = 0.0, 0
    while actions:
        (offer,) = actions
        assert isinstance(offer, ToPeer)
        assert offer.departure is not None
        offers += 1
        assert agent.flows_since_load == 1
        now += 0.5
        offer.departure.left_at, offer.departure.was_dropped = now, True
        actions = flows.tick(now=now)
    assert offers == 3
    assert agent.unanswered_openings == agent.flows_since_load == 0
    (offer,) = flows.on_segment(opening(1, retransmissions=1), now=now)
    assert isinstance(offer, ToPeer)
    assert offer.departure is not None
    offer.departure.left_at, offer.departure.was_dropped = now, True
    assert len(flows.on_segment(opening(1, retransmissions=2), now=now)) == 1
    assert agent.flows_since_load == 1
