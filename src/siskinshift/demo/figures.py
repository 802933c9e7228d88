"""Figures of a demo, worked out from what callers and stand-ins counted."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import frozen


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.demo.ledger import Ledger
    from siskinshift.demo.scenario import Scenario
    from siskinshift.standins.http_upstream import HttpUpstreamStandIn


# "In force on every balancer within seconds."
CONFIG_SECONDS_ALLOWED = 5.0


@frozen
class DemoFigures:
    """What callers and stand-ins counted in all deployments.

    Attributes:
        flows_opened: Datagram flows and event streams that callers opened.
        flows_broken_planned: Flows that broke though their owner lived.
        flows_broken_unplanned: Flows that broke because their owner died.
        flows_not_established: Flows that got no answer at all for several seconds.
        packets_misdelivered: Datagrams and requests at an upstream of another service.
        datagrams: Datagrams that callers had answered or gave up.
        requests: Requests that callers sent.
        answers_whole: Requests that got their whole answer.
        answers_wrong: Answers that were not whole or belonged to another request.
        refused: Requests answered "not run".
        unknown: Requests whose outcome callers did not learn.
        not_run_but_ran: Requests answered "not run" that ran all the same.
        answered_but_not_run: Requests answered that no upstream ran.
        ran_twice: Saves and bookings that ran more than once.
        ran_after_drain: Requests begun at an upstream seconds after its drain began.
        callers_failed: Callers that ended by an error of their own.
        imbalance: Largest over mean work of an upstream's slot, by service.
        config_seconds_max: Longest time from accepted until in force at a balancer.
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
    callers_failed: int
    imbalance: dict[str, float]
    config_seconds_max: float

    def broken_promises(self) -> list[str]:
        """Names the promises that were not kept.

        Returns:
            Names of the figures that show it.
        """
        must_be_zero = (
            "flows_broken_planned",
            "packets_misdelivered",
            "answers_wrong",
            "not_run_but_ran",
            "answered_but_not_run",
            "ran_twice",
            "ran_after_drain",
            "callers_failed",
        )
        broken = [name for name in must_be_zero if getattr(self, name)]
        if self.config_seconds_max > CONFIG_SECONDS_ALLOWED:
            broken.append("config_seconds_max")
        return broken


def work_out(ledger: Ledger, scenarios: Sequence[Scenario]) -> DemoFigures:
    """Holds callers' counts against those of the stand-ins.

    Args:
        ledger: What callers saw.
        scenarios: Scenarios that have ended.

    Returns:
        The figures.
    """
    upstreams = [
        upstream
        for scenario in scenarios
        for upstream in scenario.deployment.upstreams_by_id.values()
    ]
    killed = {name for s in scenarios for name in s.deployment.killed}
    runs: Counter[str] = Counter()
    for upstream in upstreams:
        runs.update(upstream.http.run_counts_by_request_id)
    unplanned = sum(owner in killed for owner in ledger.broken_owners)
    at_stand_ins = sum(u.http.misdelivered + u.datagram.misdelivered for u in upstreams)
    writes = [name for name in runs if name.startswith("write-")]
    return DemoFigures(
        flows_opened=ledger.counts["flows_opened"],
        flows_broken_planned=len(ledger.broken_owners) - unplanned,
        flows_broken_unplanned=unplanned,
        flows_not_established=ledger.counts["flows_not_established"],
        packets_misdelivered=at_stand_ins + len(ledger.misdelivered),
        datagrams=ledger.counts["datagrams"],
        requests=ledger.counts["requests"],
        answers_whole=len(ledger.answered),
        answers_wrong=ledger.counts["answers_wrong"],
        refused=len(ledger.refused),
        unknown=len(ledger.unknown),
        not_run_but_ran=sum(runs[name] > 0 for name in ledger.refused),
        answered_but_not_run=sum(runs[name] == 0 for name in ledger.answered),
        ran_twice=sum(runs[name] > 1 for name in writes),
        ran_after_drain=sum(s.work_after_drain for s in scenarios),
        callers_failed=ledger.counts["callers_failed"],
        imbalance=_imbalance_by_service(scenarios),
        config_seconds_max=round(max(ledger.config_seconds, default=0.0), 2),
    )


def _imbalance_by_service(scenarios: Sequence[Scenario]) -> dict[str, float]:
    imbalance_by_service: dict[str, float] = {}
    for scenario in scenarios:
        left = scenario.drained | scenario.deployment.killed
        upstreams_by_class: dict[str, list[HttpUpstreamStandIn]] = {}
        for name, upstream in scenario.deployment.upstreams_by_id.items():
            if name not in left:
                own_class = name.rpartition("-")[0]
                upstreams_by_class.setdefault(own_class, []).append(upstream.http)
        for own_class, upstreams in upstreams_by_class.items():
            work = [upstream.busy_seconds / upstream.slots for upstream in upstreams]
            mean = sum(work) / len(work)
            imbalance_by_service[own_class] = round(max(work) / mean, 2) if mean else 0
    return imbalance_by_service
