"""Decides which agents of one service are ejected.

Ejecting an agent moves its load to the others. Two limits keep a wrong or shared
finding from taking capacity that callers need: at most a set fraction is ejected, worst
first, and if more than half look unhealthy the cause is shared (the network, the store
behind the upstreams, this balancer's own link), so nobody is ejected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.connections.health.agent_record import AgentRecord
from siskinshift.connections.health.criteria import RUN_TIME_REASONS
from siskinshift.connections.health.criteria import judge
from siskinshift.connections.health.evidence import NO_REPORT
from siskinshift.connections.health.evidence import summarize
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from siskinshift.connections.evacuations import EvacuationRegister
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.health.evidence import Evidence
    from siskinshift.connections.health.evidence import ServiceStatistics
    from siskinshift.connections.node_settings import PolicySettings
    from siskinshift.observability.event_log import EventLog


# Fraction of the judged agents above which the cause counts as shared, and fraction at
# which it no longer does, so that ejections are not lifted and repeated at the limit.
PANIC_FRACTION = 0.5
PANIC_END_FRACTION = 0.4
# Factor by which the service's run time may differ from its usual one. Beyond it the
# change is shared: if most upstreams fail fast, the others would count as slow.
MAX_SHIFT_FACTOR = 3.0
# Time constant of the usual run time.
USUAL_RUN_SMOOTHING_SECONDS = 60.0
# Probes of an ejected agent as a fraction of the flows that a healthy one gets: real
# requests, half of which may fail. Their rate over all balancers is independent of the
# number of balancers.
PROBE_FRACTION = 0.02
# Shortest interval between two probes of an agent by one balancer.
MIN_PROBE_INTERVAL_SECONDS = 1.0


class ServiceHealth:
    """Health records of a service's agents and the choice among them.

    Attributes:
        agents: Agents at the last evaluation.
        evaluated_at: Time of the last evaluation, seconds.
        eligible: Agents with their full share of new flows.
        slow_starting: Records of returned agents, each with its fraction of a share.
        ejected: Records of ejected agents.
        is_panicking: Whether too many agents look unhealthy for any to be ejected.
    """

    def __init__(
        self,
        service_id: str,
        settings: PolicySettings,
        *,
        evacuations: EvacuationRegister,
        log: EventLog,
    ) -> None:
        """Initializes the service without records.

        Args:
            service_id: The service.
            settings: Policy settings with the largest fraction to eject.
            evacuations: Failure domains that receive no new flows.
            log: Log of ejections and returns.
        """
        self._service_id = service_id
        self._settings = settings
        self._evacuations = evacuations
        self._log = log
        self._records_by_id: dict[str, AgentRecord] = {}
        self._probe_credit = 0.0
        self._usual_run_seconds = 0.0
        self.agents: list[Peer] = []
        self.evaluated_at = float("-inf")
        self.eligible: list[Peer] = []
        self.slow_starting: list[tuple[AgentRecord, float]] = []
        self.ejected: list[AgentRecord] = []
        self.is_panicking = False

    @property
    def has_restrictions(self) -> bool:
        """Whether not every agent has its full share."""
        return bool(self.ejected or self.slow_starting)

    def evaluate(self, agents: list[Peer], *, now: float) -> None:
        """Judges the agents and decides which are ejected and which return.

        Args:
            agents: Agents of the service, in any state.
            now: Clock reading, seconds.
        """
        elapsed = now - self.evaluated_at
        self.agents = agents
        self.evaluated_at = now
        records = self._update_records(agents, now=now)
        usable = [r for r in records if self._is_usable(r.agent, now=now)]
        evidence = [record.collect(now=now) for record in usable]
        statistics = self._without_shift(summarize(evidence), elapsed)
        judged = unhealthy = 0
        for record, known in zip(usable, evidence, strict=True):
            record.finding = judge(known, statistics)
            record.record_service(known.report.samples, elapsed=elapsed)
            judged += known.is_judged
            unhealthy += record.is_unhealthy
        fraction = PANIC_END_FRACTION if self.is_panicking else PANIC_FRACTION
        self._set_panic(unhealthy > fraction * judged, unhealthy, judged)
        if self.is_panicking:
            self._lift_all(records, now=now)
        else:
            evidence_by_id = {
                r.agent.member.member_id: e
                for r, e in zip(usable, evidence, strict=True)
            }
            self._update_ejections(usable, evidence_by_id, statistics, now=now)
        self._index(usable or records, now=now)

    def next_probe(self, *, now: float) -> Peer | None:
        """Returns the ejected agent that gets the new flow as a probe, if one is due.

        Args:
            now: Clock reading, seconds.

        Returns:
            The agent; None if no probe is due.
        """
        if not self.ejected:
            return None
        self._probe_credit += PROBE_FRACTION * len(self.ejected) / len(self.agents)
        if self._probe_credit < 1.0:
            return None
        record = min(self.ejected, key=lambda r: r.probed_at)
        if now - record.probed_at < MIN_PROBE_INTERVAL_SECONDS:
            return None
        self._probe_credit = 0.0
        record.probed_at = now
        reason = f"{self._service_id}:{record.ejected_for}"
        self._log.metrics.count_decision("probe", reason)
        self._log.decision(
            "health probe",
            ejected_for=record.ejected_for,
            service=self._service_id,
            agent=record.agent.member.member_id,
        )
        return record.agent

    def _without_shift(
        self, statistics: ServiceStatistics, elapsed: float
    ) -> ServiceStatistics:
        """Removes run times that are no measure, since the whole service changed."""
        run_seconds = statistics.run_seconds
        if not run_seconds:
            return statistics
        usual = self._usual_run_seconds or run_seconds
        if run_seconds < usual / MAX_SHIFT_FACTOR:
            # Most upstreams may fail fast, so their run times never become usual.
            return _without_run_times(statistics)
        weight = min(1.0, elapsed / USUAL_RUN_SMOOTHING_SECONDS)
        self._usual_run_seconds = usual + weight * (run_seconds - usual)
        if run_seconds <= usual * MAX_SHIFT_FACTOR:
            return statistics
        return _without_run_times(statistics)

    def _update_records(self, agents: list[Peer], *, now: float) -> list[AgentRecord]:
        known = self._records_by_id
        self._records_by_id = {}
        for agent in agents:
            member = agent.member
            record = known.get(member.member_id)
            if record is None or not record.is_about(agent):
                record = AgentRecord(agent, member.incarnation)
            if record.has_new_upstream():
                record = self._successor(record, now=now)
            self._records_by_id[member.member_id] = record
        return list(self._records_by_id.values())

    def _successor(self, record: AgentRecord, *, now: float) -> AgentRecord:
        agent = record.agent
        successor = AgentRecord(agent, record.incarnation)
        successor.has_new_upstream()
        successor.previous_report = agent.load.report
        if record.is_ejected:
            self._return(successor, "upstream replaced", now=now)
        return successor

    def _is_usable(self, agent: Peer, *, now: float) -> bool:
        return (
            agent.member.state is MemberState.READY
            and not agent.is_unresponsive(now=now)
            and not self._evacuations.is_evacuated(agent.member.failure_domain)
        )

    def _update_ejections(
        self,
        usable: list[AgentRecord],
        evidence_by_id: dict[str, Evidence],
        statistics: ServiceStatistics,
        *,
        now: float,
    ) -> None:
        limit = int(self._settings.max_ejected_fraction * len(usable))
        ejected = []
        for record in usable:
            if (
                record.is_ejected
                and statistics.has_shifted
                and record.ejected_for in RUN_TIME_REASONS
            ):
                record.lift(now=now)
                self._log_return(record, "service changed")
            is_over = record.is_ejected and record.ejected_until <= now
            if is_over and not record.is_unhealthy:
                self._return(record, "ejection expired", now=now)
            if record.is_ejected and record.ejected_until > now:
                ejected.append(record)
        ejected.sort(key=lambda r: r.finding.severity, reverse=True)
        for record in ejected[limit:]:
            # Its share is needed at once: too few others are usable.
            self._return(record, "limit", slow_start=False, now=now)
        del ejected[limit:]
        candidates = [
            r
            for r in usable
            if r.is_unhealthy and (not r.is_ejected or r.ejected_until <= now)
        ]
        candidates.sort(key=lambda r: (r.finding.severity, r.is_ejected), reverse=True)
        for rank, record in enumerate(candidates, start=len(ejected)):
            if rank >= limit:
                if record.is_ejected:
                    self._return(record, "limit", slow_start=False, now=now)
                continue
            record.eject(now=now)
            known = evidence_by_id[record.agent.member.member_id]
            self._log_ejection(record, known, statistics, now=now)

    def _return(
        self, record: AgentRecord, cause: str, *, slow_start: bool = True, now: float
    ) -> None:
        record.end_ejection(now=now, slow_start=slow_start)
        self._log_return(record, cause)

    def _log_return(self, record: AgentRecord, cause: str) -> None:
        self._log.metrics.count_decision("agent_return", f"{self._service_id}:{cause}")
        report = record.agent.load.report or NO_REPORT
        self._log.fact(
            "agent returned",
            service=self._service_id,
            agent=record.agent.member.member_id,
            cause=cause,
            ejections=record.consecutive,
            run=round(report.run_seconds, 4),
            samples=report.samples,
        )

    def _lift_all(self, records: list[AgentRecord], *, now: float) -> None:
        for record in records:
            if record.is_ejected:
                record.lift(now=now)
            record.good_seconds = 0.0

    def _set_panic(self, is_panicking: bool, unhealthy: int, judged: int) -> None:
        if is_panicking == self.is_panicking:
            return
        self.is_panicking = is_panicking
        self._log.fact(
            "ejections lifted" if is_panicking else "ejections possible",
            service=self._service_id,
            unhealthy=unhealthy,
            judged=judged,
            ejected=len(self.ejected),
        )

    def _index(self, records: list[AgentRecord], *, now: float) -> None:
        self.eligible = []
        self.slow_starting = []
        for record in records:
            fraction = record.slow_start_fraction(now=now)
            if record.is_ejected:
                continue
            if fraction < 1.0:
                self.slow_starting.append((record, fraction))
            else:
                self.eligible.append(record.agent)
        if not self.eligible:
            # No other agent takes what slow start withholds.
            self.eligible = [record.agent for record, _ in self.slow_starting]
            self.slow_starting = []
        self.ejected = [record for record in records if record.is_ejected]

    def _log_ejection(
        self,
        record: AgentRecord,
        evidence: Evidence,
        statistics: ServiceStatistics,
        *,
        now: float,
    ) -> None:
        reason = record.finding.reason
        self._log.metrics.count_decision("ejection", f"{self._service_id}:{reason}")
        domain = evidence.failure_domain
        usual_round_trip = statistics.round_trip_by_domain.get(domain, 0.0)
        self._log.fact(
            "agent ejected",
            service=self._service_id,
            agent=record.agent.member.member_id,
            reason=reason,
            severity=round(record.finding.severity, 2),
            seconds=round(record.ejected_until - now, 1),
            ejections=record.consecutive,
            run=round(evidence.report.run_seconds, 4),
            service_run=round(statistics.run_seconds, 4),
            fast_run=round(evidence.report.fast_run_seconds, 4),
            service_fast_run=round(statistics.fast_run_seconds, 4),
            stalled=evidence.report.stalled,
            failures=round(evidence.report.failure_fraction, 3),
            samples=evidence.report.samples,
            unanswered=evidence.unanswered_openings,
            round_trip=round(evidence.round_trip, 4),
            service_round_trip=round(usual_round_trip, 4),
            report_age=round(now - record.agent.last_seen_at, 3),
        )


def _without_run_times(statistics: ServiceStatistics) -> ServiceStatistics:
    return attrs.evolve(
        statistics, run_seconds=0.0, fast_run_seconds=0.0, has_shifted=True
    )
