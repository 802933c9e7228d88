"""Computes the figures of a demo from the counts of callers and stand-ins."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import frozen


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.demo.caller_statistics import CallerStatistics
    from siskinshift.demo.scenario import Scenario
    from siskinshift.standins.http_upstream import HttpUpstreamStandIn


# A change of the configuration has to be in force on all balancers within seconds.
MAX_CONFIG_SECONDS = 5.0


@frozen
class DemoFigures:
    """Results of all deployments, printed under the names of the fields.

    Attributes:
        flows_opened: Datagram flows and event streams that callers opened.
        flows_broken_planned: Flows that broke although their owner was running.
        flows_broken_unplanned: Flows that broke because their owner was killed.
        flows_not_established: Flows without any reply for several seconds.
        packets_misdelivered: Datagrams and requests at an upstream of another service.
        datagrams: Exchanges of datagrams, with and without a reply.
        requests: Requests that callers sent.
        answers_whole: Requests with a complete response.
        answers_wrong: Responses that were incomplete or belonged to another request.
        refused: Requests with the outcome "not run".
        unknown: Requests with an unknown outcome.
        not_run_but_ran: Requests with the outcome "not run" that did run.
        answered_but_not_run: Requests with a response that no upstream ran.
        ran_twice: Saves and bookings that ran more than once.
        ran_after_drain: Requests that started seconds after the upstream's drain began.
        ran_in_evacuated_domain: Requests that started in a failure domain seconds after
            its evacuation began.
        callers_failed: Callers that ended with an unexpected exception.
        imbalance: Maximum over mean busy time of an upstream's slots, by class.
        config_seconds_max: Longest time in seconds from the acceptance of a
            configuration change until it was in force at a balancer.
    """

    flows_opened: int
    flows_broken_planned: int
    flows_broken_unplanned: int
    flows_not_established: int
    packets_misdelivered: int
    datagrams: int
    requests: int
    answers_whole: int
    answers_wrong: int
    refused: int
    unknown: int
    not_run_but_ran: int
    answered_but_not_run: int
    ran_twice: int
    ran_after_drain: int
    ran_in_evacuated_domain: int
    callers_failed: int
    imbalance: dict[str, float]
    config_seconds_max: float

    def violated_guarantees(self) -> list[str]:
        """Returns the names of the figures that violate a guarantee.

        Returns:
            Names of fields.
        """
        must_be_zero = (
            "flows_broken_planned",
            "packets_misdelivered",
            "answers_wrong",
            "not_run_but_ran",
            "answered_but_not_run",
            "ran_twice",
            "ran_after_drain",
            "ran_in_evacuated_domain",
            "callers_failed",
        )
        violated = [name for name in must_be_zero if getattr(self, name)]
        if self.config_seconds_max > MAX_CONFIG_SECONDS:
            violated.append("config_seconds_max")
        return violated


def compute_figures(
    statistics: CallerStatistics, scenarios: Sequence[Scenario]
) -> DemoFigures:
    """Compares the counts of callers with those of the stand-ins.

    Args:
        statistics: Results of the callers.
        scenarios: Finished scenarios.

    Returns:
        The figures.
    """
    upstreams = [
        upstream
        for scenario in scenarios
        for upstream in scenario.deployment.upstreams_by_id.values()
    ]
    killed_ids = {name for s in scenarios for name in s.deployment.killed_agent_ids}
    run_counts: Counter[str] = Counter()
    for upstream in upstreams:
        run_counts.update(upstream.http.run_counts_by_request_id)
    unplanned = sum(owner in killed_ids for owner in statistics.broken_owners)
    misdelivered_at_stand_ins = sum(
        u.http.misdelivered + u.datagram.misdelivered for u in upstreams
    )
    write_ids = [name for name in run_counts if name.startswith("write-")]
    return DemoFigures(
        flows_opened=statistics.counts["flows_opened"],
        flows_broken_planned=len(statistics.broken_owners) - unplanned,
        flows_broken_unplanned=unplanned,
        flows_not_established=statistics.counts["flows_not_established"],
        packets_misdelivered=misdelivered_at_stand_ins + len(statistics.misdelivered),
        datagrams=statistics.counts["datagrams"],
        requests=statistics.counts["requests"],
        answers_whole=len(statistics.answered),
        answers_wrong=statistics.counts["answers_wrong"],
        refused=len(statistics.not_run),
        unknown=len(statistics.unknown),
        not_run_but_ran=sum(run_counts[name] > 0 for name in statistics.not_run),
        answered_but_not_run=sum(run_counts[name] == 0 for name in statistics.answered),
        ran_twice=sum(run_counts[name] > 1 for name in write_ids),
        ran_after_drain=sum(s.runs_after_drain for s in scenarios),
        ran_in_evacuated_domain=sum(s.runs_in_evacuated_domain for s in scenarios),
        callers_failed=statistics.counts["callers_failed"],
        imbalance=_imbalance_by_class(scenarios),
        config_seconds_max=round(max(statistics.config_seconds, default=0.0), 2),
    )


def _imbalance_by_class(scenarios: Sequence[Scenario]) -> dict[str, float]:
    imbalance_by_class: dict[str, float] = {}
    for scenario in scenarios:
        stopped = scenario.drained_ids | scenario.deployment.killed_agent_ids
        upstreams_by_class: dict[str, list[HttpUpstreamStandIn]] = {}
        for name, upstream in scenario.deployment.upstreams_by_id.items():
            if name not in stopped:
                upstream_class = name.rpartition("-")[0]
                upstreams_by_class.setdefault(upstream_class, []).append(upstream.http)
        for upstream_class, upstreams in upstreams_by_class.items():
            slot_seconds = [
                upstream.busy_seconds / upstream.slots for upstream in upstreams
            ]
            mean = sum(slot_seconds) / len(slot_seconds)
            imbalance_by_class[upstream_class] = (
                round(max(slot_seconds) / mean, 2) if mean else 0
            )
    return imbalance_by_class
