"""Runs the demo: both deployments, their callers, and everything that changes."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import orjson
from attrs import asdict
from attrs import frozen

from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.demo.figures import work_out
from siskinshift.demo.ledger import Ledger
from siskinshift.demo.readiness import wait_until_ready
from siskinshift.demo.scenario import CallerPlan
from siskinshift.demo.scenario import Scenario
from siskinshift.messages.core import ServiceMode


if TYPE_CHECKING:
    from siskinshift.demo.figures import DemoFigures


BALANCERS = 3
# All agents start at once here, and their hand-over messages have a budget.
SETTLE_SECONDS = 6.0


@frozen
class DemoPlan:
    """One deployment of the demo and what happens to it.

    Attributes:
        name: Name of the deployment.
        services: Its services.
        callers: Its callers.
        failure_domains: Number of failure domains.
        drained: Upstream that leaves as planned.
        killed: Upstream whose instance dies.
    """

    name: str
    services: tuple[ServicePlan, ...]
    callers: CallerPlan
    failure_domains: int
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
    drained="marketplace-1",
    killed="marketplace-2",
)


class Demo:
    """Both deployments with their scenarios, one after the other.

    They share one interpreter: at once, 27 nodes kept it so busy that they took each
    other for dead.
    """

    def __init__(self) -> None:
        self._ledger = Ledger()
        self._started_at = time.monotonic()
        self._scenarios: list[Scenario] = []

    def run(self) -> DemoFigures:
        """Runs everything.

        Returns:
            What callers and stand-ins counted.
        """
        for plan in (GRANTOWO, SUBLOCAR):
            self._run_deployment(plan)
        return work_out(self._ledger, self._scenarios)

    @property
    def details(self) -> dict[str, int]:
        """Counts of callers, for the table."""
        return dict(sorted(self._ledger.counts.items()))

    def _run_deployment(self, plan: DemoPlan) -> None:
        deployment = Deployment(
            name=plan.name,
            plans=plan.services,
            balancers=BALANCERS,
            failure_domains=plan.failure_domains,
        )
        scenario = Scenario(deployment, plan.callers, self._ledger)
        self._scenarios.append(scenario)
        try:
            deployment.start()
            wait_until_ready(deployment)
            self._say(f"{plan.name} is ready; agents agree on their buckets")
            time.sleep(SETTLE_SECONDS)
            scenario.start_callers()
            self._change_everything(plan, scenario)
            self._say("callers end")
            scenario.end_callers()
            scenario.join_callers()
        finally:
            deployment.stop()

    def _change_everything(self, plan: DemoPlan, scenario: Scenario) -> None:
        time.sleep(2)
        self._say("a balancer joins")
        scenario.add_balancer()
        time.sleep(2)
        self._say("operators add an address to the feed")
        scenario.change_configuration()
        self._say("news reaches one balancer late; an upstream drains")
        release = scenario.hold_views(0)
        scenario.drain_upstream(plan.drained)
        time.sleep(4)
        release()
        time.sleep(2)
        self._say("a balancer dies; its fabric notices a second later")
        scenario.kill_balancer(1)
        time.sleep(2)
        self._say("the key-value service is cut off; an upstream dies")
        scenario.cut_store(available=False)
        time.sleep(1)
        scenario.kill_upstream(plan.killed)
        time.sleep(5)
        scenario.cut_store(available=True)
        self._say("the key-value service is back; operators add an address again")
        scenario.change_configuration()
        self._say("a balancer leaves as planned")
        scenario.remove_balancer(0)
        time.sleep(2)

    def _say(self, sentence: str) -> None:
        seconds = time.monotonic() - self._started_at
        print(f"{seconds:5.1f} s  {sentence}", flush=True)


def print_demo() -> bool:
    """Runs the demo and prints its figures; the last line is JSON.

    Returns:
        Whether all promises were kept.
    """
    demo = Demo()
    figures = demo.run()
    broken = figures.broken_promises()
    print()
    for name, value in asdict(figures).items():
        mark = "  BROKEN" if name in broken else ""
        print(f"{name:24} {value!s:>8}{mark}")
    if broken:
        print(f"\npromises broken: {', '.join(broken)}", file=sys.stderr)
    for name, count in demo.details.items():
        print(f"  {name:60} {count:>8}")
    print(orjson.dumps(asdict(figures)).decode())
    return not broken
