"""Collects what is known of the agents of one service for a judgement.

Reports are up to seconds old and each balancer gets its own, so an agent is judged by a
fresh report only, and times are compared only with those of enough other agents.
"""

from __future__ import annotations

from collections import defaultdict
from statistics import fmean
from statistics import median
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import frozen

from siskinshift.connections.peer_messages import LoadReport


if TYPE_CHECKING:
    from collections.abc import Iterable


# Agents with enough samples that a median for the service needs: of two that differ,
# neither is known to be the outlier.
MIN_AGENTS = 3
# Responses below which an agent's run times do not count for the service's medians.
MIN_SAMPLES = 16
# Round trips below which an agent is not judged by their mean: the mean moves by a
# tenth with each, and the first may have met a busy moment.
MIN_ROUND_TRIPS = 5
NO_REPORT = LoadReport()


@frozen
class Evidence:
    """What a balancer knows of one agent and its upstream.

    Attributes:
        report: Newest report; an empty one if it is missing or out of date.
        failure_domain: Failure domain of the agent.
        stalled_reports: Consecutive reports with at least as many stalled requests as
            count as hanging.
        unanswered_openings: Consecutive opening packets without a reply.
        has_answered_opening: Whether its present incarnation has answered an opening.
        round_trip: Mean time from an opening packet to its verdict, seconds; 0 if there
            are not enough of them.
        is_repeat: Whether the agent was ejected before and has not yet served well for
            long enough since; fewer samples suffice then.
    """

    report: LoadReport = NO_REPORT
    failure_domain: str = ""
    stalled_reports: int = 0
    unanswered_openings: int = 0
    has_answered_opening: bool = False
    round_trip: float = 0.0
    is_repeat: bool = False

    @property
    def is_judged(self) -> bool:
        """Whether there is anything to judge the agent by."""
        return (
            self.report is not NO_REPORT
            or self.unanswered_openings > 0
            or self.has_answered_opening
        )


@frozen
class ServiceStatistics:
    """Figures of a service to which each of its agents is compared.

    Attributes:
        run_seconds: Median of the agents' median run times; 0 if too few report them.
        fast_run_seconds: Median of the agents' 0.1 quantiles; 0 if too few report them.
        stalled: Mean number of stalled requests of an agent with a report.
        round_trip_by_domain: Median round trip to the agents of a failure domain,
            seconds, for domains with enough agents. Distance between domains is not a
            fault.
        has_shifted: Whether run times of the whole service changed so much that they
            are no measure for its agents; they are 0 then.
    """

    run_seconds: float = 0.0
    fast_run_seconds: float = 0.0
    stalled: float = 0.0
    round_trip_by_domain: dict[str, float] = Factory(dict)
    has_shifted: bool = False


def summarize(evidence: Iterable[Evidence]) -> ServiceStatistics:
    """Computes the statistics of a service.

    Args:
        evidence: What is known of each of its agents.

    Returns:
        The statistics.
    """
    reports = []
    stalled = []
    round_trips_by_domain: defaultdict[str, list[float]] = defaultdict(list)
    for known in evidence:
        if known.report is not NO_REPORT:
            stalled.append(known.report.stalled)
        if known.report.samples >= MIN_SAMPLES:
            reports.append(known.report)
        if known.round_trip:
            round_trips_by_domain[known.failure_domain].append(known.round_trip)
    return ServiceStatistics(
        run_seconds=_median(report.run_seconds for report in reports),
        stalled=fmean(stalled) if stalled else 0.0,
        fast_run_seconds=_median(report.fast_run_seconds for report in reports),
        round_trip_by_domain={
            domain: _median(round_trips)
            for domain, round_trips in round_trips_by_domain.items()
        },
    )


def _median(values: Iterable[float]) -> float:
    known = list(values)
    return median(known) if len(known) >= MIN_AGENTS else 0.0
