"""Keeps the health record of one agent at a balancer: ejections and its return.

An upstream that flaps is bad again soon after each return, so the ejection time doubles
with each ejection. Returning upstreams have no flows and look idle, so their share of
new flows grows over seconds; otherwise every balancer would place its next flows there
at once.
"""

from __future__ import annotations

from attrs import define

from siskinshift.connections.fleet import MAX_ROUND_TRIP_AGE_SECONDS
from siskinshift.connections.fleet import NEVER
from siskinshift.connections.fleet import Peer
from siskinshift.connections.health.criteria import HEALTHY
from siskinshift.connections.health.criteria import Finding
from siskinshift.connections.health.criteria import stalled_limit
from siskinshift.connections.health.evidence import MIN_ROUND_TRIPS
from siskinshift.connections.health.evidence import NO_REPORT
from siskinshift.connections.health.evidence import Evidence
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.messages.core import MemberState


# Time of the first ejection. Reports cover four seconds, so at its end they no longer
# contain what led to it.
BASE_EJECTION_SECONDS = 5.0
# An upstream that has recovered stays unused for at most this time.
MAX_EJECTION_SECONDS = 60.0
# An agent that has served well for this time has one consecutive ejection less.
GOOD_SERVICE_SECONDS = 30.0
# Time until a returned agent has its full share of new flows; longer than the window
# of its reports, so that it is judged before.
SLOW_START_SECONDS = 5.0
MIN_SLOW_START_FRACTION = 0.1
# Age from which a report does not judge, in announced heartbeat intervals and seconds:
# the upstream may have recovered, or the agent's machine may have failed since.
STALE_AFTER_INTERVALS = 2.0
MIN_STALE_AFTER_SECONDS = 2.0


@define(eq=False)
class AgentRecord:
    """Health record of one incarnation of an agent.

    Attributes:
        agent: The agent.
        incarnation: Incarnation that the record is about.
        finding: Result of the newest judgement.
        ejected_for: Reason of the newest ejection; empty before the first.
        ejected_until: End of the ejection, seconds; 0 if it is not ejected.
        consecutive: Ejections less those made up for by good service.
        returned_at: Time of its last return, seconds.
        good_seconds: Time of good service since the last change of `consecutive`.
        slow_start_credit: Fraction of a flow that it may get during slow start.
        probed_at: Time of the last probe, seconds.
        weight: Its weight at the last evaluation; it falls when a cold upstream starts.
        was_leaving: Whether its upstream was draining or gone at the last evaluation.
        previous_report: Report about the predecessor of its upstream.
        judged_report: Newest report that was counted.
        stalled_reports: Consecutive reports with stalled requests.
        judged_round_trip_at: Time of the newest round trip that was counted, seconds.
        round_trip_count: Evaluations with a new round trip since the last gap.
    """

    agent: Peer
    incarnation: int
    finding: Finding = HEALTHY
    ejected_for: str = ""
    ejected_until: float = 0.0
    consecutive: int = 0
    returned_at: float = float("-inf")
    good_seconds: float = 0.0
    slow_start_credit: float = 0.0
    probed_at: float = float("-inf")
    weight: int = 0
    was_leaving: bool = False
    previous_report: LoadReport | None = None
    judged_report: LoadReport | None = None
    stalled_reports: int = 0
    judged_round_trip_at: float = float("-inf")
    round_trip_count: int = 0

    def is_about(self, agent: Peer) -> bool:
        """Returns whether the record is about this agent in its present incarnation.

        Args:
            agent: The agent.
        """
        return self.agent is agent and self.incarnation == agent.member.incarnation

    def has_new_upstream(self) -> bool:
        """Returns whether the agent's upstream was replaced since the last call."""
        member = self.agent.member
        is_leaving = member.state in (MemberState.DRAINING, MemberState.GONE)
        has_returned = self.was_leaving and member.state is MemberState.READY
        has_cooled = member.weight < self.weight
        self.was_leaving = is_leaving
        self.weight = member.weight
        return has_returned or has_cooled

    @property
    def is_ejected(self) -> bool:
        """Whether the agent is ejected."""
        return self.ejected_until > 0.0

    @property
    def is_unhealthy(self) -> bool:
        """Whether the newest judgement found the agent unhealthy."""
        return self.finding is not HEALTHY

    @property
    def ejection_seconds(self) -> float:
        """Duration of an ejection after `consecutive` of them, seconds."""
        exponent = max(0, self.consecutive - 1)
        return min(BASE_EJECTION_SECONDS * 2.0**exponent, MAX_EJECTION_SECONDS)

    def slow_start_fraction(self, *, now: float) -> float:
        """Returns the fraction of its share of new flows that it gets.

        Args:
            now: Clock reading, seconds.

        Returns:
            The fraction, 0.1 to 1.
        """
        elapsed = (now - self.returned_at) / SLOW_START_SECONDS
        return min(1.0, max(MIN_SLOW_START_FRACTION, elapsed))

    def collect(self, *, now: float) -> Evidence:
        """Collects the evidence for a judgement.

        Args:
            now: Clock reading, seconds.

        Returns:
            The evidence; without a report if it is missing or out of date.
        """
        agent = self.agent
        if now - agent.round_trip_at > MAX_ROUND_TRIP_AGE_SECONDS:
            self.round_trip_count = 0
        elif agent.round_trip_at != self.judged_round_trip_at:
            self.judged_round_trip_at = agent.round_trip_at
            self.round_trip_count += 1
        report = agent.load.report
        stale_after = max(
            STALE_AFTER_INTERVALS * agent.next_heartbeat_within, MIN_STALE_AFTER_SECONDS
        )
        if (
            now - agent.last_seen_at > stale_after
            or agent.last_seen_at < agent.discovered_at
            or report is self.previous_report
        ):
            report = None
        if report is not None and report is not self.judged_report:
            is_hanging = report.stalled >= stalled_limit(report.samples)
            self.stalled_reports = self.stalled_reports + 1 if is_hanging else 0
            self.judged_report = report
        has_round_trips = self.round_trip_count >= MIN_ROUND_TRIPS
        return Evidence(
            report=report or NO_REPORT,
            failure_domain=agent.member.failure_domain,
            stalled_reports=self.stalled_reports if report is not None else 0,
            unanswered_openings=agent.unanswered_openings,
            has_answered_opening=agent.round_trip_at > NEVER,
            round_trip=agent.round_trip if has_round_trips else 0,
            is_repeat=self.consecutive > 0,
        )

    def eject(self, *, now: float) -> None:
        """Ejects the agent, for longer with each consecutive ejection.

        Args:
            now: Clock reading, seconds.
        """
        self.consecutive += 1
        self.ejected_for = self.finding.reason
        self.ejected_until = now + self.ejection_seconds
        self.probed_at = now

    def end_ejection(self, *, now: float, slow_start: bool = True) -> None:
        """Lets the agent return.

        Args:
            now: Clock reading, seconds.
            slow_start: Whether its share of new flows grows gradually.
        """
        self.ejected_until = 0.0
        self.good_seconds = 0.0
        self.returned_at = now if slow_start else float("-inf")
        self.slow_start_credit = 0.0

    def lift(self, *, now: float) -> None:
        """Lets the agent return with its full share, since the cause is shared.

        Args:
            now: Clock reading, seconds.
        """
        self.end_ejection(now=now, slow_start=False)
        self.consecutive = max(0, self.consecutive - 1)

    def record_service(self, samples: int, *, elapsed: float) -> None:
        """Reduces the consecutive ejections after a period of good service.

        Args:
            samples: Recent responses of its upstream; without any it shows nothing.
            elapsed: Time since the last evaluation, seconds.
        """
        if self.is_unhealthy or self.is_ejected:
            self.good_seconds = 0.0
        elif samples and self.consecutive:
            self.good_seconds += min(elapsed, MIN_STALE_AFTER_SECONDS)
            if self.good_seconds >= GOOD_SERVICE_SECONDS:
                self.consecutive -= 1
                self.good_seconds = 0.0

    def admits_flow(self, fraction: float) -> bool:
        """Returns whether the agent may get the next new flow during slow start.

        Args:
            fraction: Fraction of its share, 0 to 1.
        """
        self.slow_start_credit += fraction
        if self.slow_start_credit < 1.0:
            return False
        self.slow_start_credit -= 1.0
        return True
