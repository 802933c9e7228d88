"""Runs the demo: two deployments, their callers, and changes and failures."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import orjson
from attrs import asdict
from attrs import frozen

from siskinshift.demo.caller_statistics import CallerStatistics
from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.demo.figures import compute_figures
from siskinshift.demo.readiness import wait_until_ready
from siskinshift.demo.scenario import CallerPlan
from siskinshift.demo.scenario import Scenario
from siskinshift.messages.core import ServiceMode


if TYPE_CHECKING:
    from siskinshift.demo.figures import DemoFigures


BALANCERS = 3
# All agents start at once, and the rate of their handover messages is limited.
HANDOVER_SECONDS = 6.0
EVACUATION_SECONDS = 8.0


@frozen
class DemoPlan:
    """A deployment of the demo and its planned changes and failures.

    Attributes:
        name: Name of the deployment.
        services: Plans of its services.
        callers: Plan of its callers.
        failure_domains: Number of failure domains.
        evacuated: Failure domain that is evacuated for a while.
        drained: Upstream that is drained.
        killed: Upstream whose instance is killed.
    """

    name: str
    services: tuple[ServicePlan, ...]
    callers: CallerPlan
    failure_domains: int
    evacuated: str
    drained: str
    killed: str


GRANTOWO = DemoPlan(
    name="grantowo",
    services=(
        ServicePlan("editor", 7, 1),
        ServicePlan("dossiers", 3, 1),
        # Reminders to open editors, on the editor's upstreams.
        ServicePlan("reminders", 0, 1, ServiceMode.DATAGRAM, "editor"),
    ),
    callers=CallerPlan(
        feed_service="reminders",
        feed_class="editor",
        writing_service="editor",
        reading_service="dossiers",
        feeds=8,
        streams=4,
        writers=3,
        readers=2,
    ),
    failure_domains=3,
    evacuated="fd-3",
    drained="editor-1",
    killed="editor-2",
)
SUBLOCAR = DemoPlan(
    name="sublocar",
    services=(
        ServicePlan("marketplace", 7, 3),
        ServicePlan("plans", 4, 3),
        # The listing feed, on the marketplace's upstreams.
        ServicePlan("listings", 0, 3, ServiceMode.DATAGRAM, "marketplace"),
    ),
    callers=CallerPlan(
        feed_service="listings",
        feed_class="marketplace",
        writing_service="marketplace",
        reading_service="plans",
        feeds=8,
        streams=4,
        writers=3,
        readers=2,
    ),
    failure_domains=4,
    evacuated="fd-3",
    drained="marketplace-1",
    killed="marketplace-2",
)


class Demo:
    """Runs the scenarios of both deployments one after the other.

    In parallel, 27 nodes in one interpreter kept it so busy that their failure
    detectors reported each other as failed.
    """

    def __init__(self) -> None:
        self._statistics = CallerStatistics()
        self._started_at = time.monotonic()
        self._scenarios: list[Scenario] = []

    def run(self) -> DemoFigures:
        """Runs all scenarios.

        Returns:
            The figures of the demo.
        """
        for plan in (GRANTOWO, SUBLOCAR):
            self._run_deployment(plan)
        return compute_figures(self._statistics, self._scenarios)

    @property
    def details(self) -> dict[str, int]:
        """Counts of callers by event, for the printed table."""
        return dict(sorted(self._statistics.counts.items()))

    def _run_deployment(self, plan: DemoPlan) -> None:
        deployment = Deployment(
            name=plan.name,
            plans=plan.services,
            balancers=BALANCERS,
            failure_domains=plan.failure_domains,
        )
        scenario = Scenario(deployment, plan.callers, self._statistics)
        self._scenarios.append(scenario)
        try:
            deployment.start()
            wait_until_ready(deployment)
            self._print_progress(f"{plan.name} is ready; the buckets have converged")
            time.sleep(HANDOVER_SECONDS)
            scenario.start_callers()
            self._run_changes(plan, scenario)
            self._print_progress("callers stop")
            scenario.stop_callers()
            scenario.join_callers()
        finally:
            deployment.stop()

    def _run_changes(self, plan: DemoPlan, scenario: Scenario) -> None:
        time.sleep(2)
        self._print_progress("a balancer joins")
        scenario.add_balancer()
        time.sleep(2)
        self._print_progress("operators add an address to the feed")
        scenario.change_configuration()
        self._print_progress(f"operators evacuate {plan.evacuated}")
        scenario.evacuate_domain(plan.evacuated, seconds=EVACUATION_SECONDS)
        self._print_progress(f"the evacuation of {plan.evacuated} ends")
        time.sleep(2)
        self._print_progress("updates reach one balancer late; an upstream drains")
        end_delay = scenario.delay_view_updates(0)
        scenario.drain_upstream(plan.drained)
        time.sleep(4)
        end_delay()
        time.sleep(2)
        self._print_progress(
            "a balancer is killed; the fabric detects it a second later"
        )
        scenario.kill_balancer(1)
        time.sleep(2)
        self._print_progress(
            "the key-value service is unreachable; an instance is killed"
        )
        scenario.set_store_available(available=False)
        time.sleep(1)
        scenario.kill_upstream(plan.killed)
        time.sleep(5)
        scenario.set_store_available(available=True)
        self._print_progress(
            "the key-value service is reachable again; operators add an address"
        )
        scenario.change_configuration()
        self._print_progress("a balancer shuts down gracefully")
        scenario.remove_balancer(0)
        time.sleep(2)

    def _print_progress(self, message: str) -> None:
        seconds = time.monotonic() - self._started_at
        print(f"{seconds:5.1f} s  {message}", flush=True)


def print_demo() -> bool:
    """Runs the demo and prints its figures; the last line is JSON.

    Returns:
        Whether all guarantees were kept.
    """
    demo = Demo()
    figures = demo.run()
    violated = figures.violated_guarantees()
    print()
    for name, value in asdict(figures).items():
        mark = "  VIOLATED" if name in violated else ""
        print(f"{name:24} {value!s:>8}{mark}")
    if violated:
        print(f"\nguarantees violated: {', '.join(violated)}", file=sys.stderr)
    for name, count in demo.details.items():
        print(f"  {name:60} {count:>8}")
    print(orjson.dumps(asdict(figures)).decode())
    return not violated
