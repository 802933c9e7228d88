"""Runs the demo: both deployments, their callers, and everything that changes."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import orjson
from attrs import asdict

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
GRANTOWO = (
    ServicePlan("editor", 7, 1),
    ServicePlan("dossiers", 3, 1),
    # Reminders to open editors, on the editor's upstreams.
    ServicePlan("reminders", 0, 1, ServiceMode.DATAGRAM, "editor"),
)
GRANTOWO_CALLERS = CallerPlan(
    feed_service="reminders",
    feed_class="editor",
    writing_service="editor",
    reading_service="dossiers",
    feeds=8,
    streams=4,
    writers=3,
    readers=2,
)
SUBLOCAR = (
    ServicePlan("marketplace", 7, 3),
    ServicePlan("plans", 4, 3),
    # The listing feed, on the marketplace's upstreams.
    ServicePlan("listings", 0, 3, ServiceMode.DATAGRAM, "marketplace"),
)
SUBLOCAR_CALLERS = CallerPlan(
    feed_service="listings",
    feed_class="marketplace",
    writing_service="marketplace",
    reading_service="plans",
    feeds=8,
    streams=4,
    writers=3,
    readers=2,
)


class Demo:
    """Both deployments with their scenarios."""

    def __init__(self) -> None:
        self._ledger = Ledger()
        self._started_at = time.monotonic()
        self._deployments = [
            Deployment(
                name="grantowo", plans=GRANTOWO, balancers=BALANCERS, failure_domains=3
            ),
            Deployment(
                name="sublocar", plans=SUBLOCAR, balancers=BALANCERS, failure_domains=4
            ),
        ]
        callers = (GRANTOWO_CALLERS, SUBLOCAR_CALLERS)
        self._scenarios = [
            Scenario(deployment, plan, self._ledger)
            for deployment, plan in zip(self._deployments, callers, strict=True)
        ]

    def run(self) -> DemoFigures:
        """Runs everything.

        Returns:
            What callers and stand-ins counted.
        """
        try:
            for deployment in self._deployments:
                deployment.start()
            for deployment in self._deployments:
                wait_until_ready(deployment)
            self._say("both deployments are ready; agents agree on their buckets")
            time.sleep(SETTLE_SECONDS)
            for scenario in self._scenarios:
                scenario.start_callers()
            self._change_everything()
            self._say("callers end")
            for scenario in self._scenarios:
                scenario.end_callers()
            for scenario in self._scenarios:
                scenario.join_callers()
            return work_out(self._ledger, self._scenarios)
        finally:
            with ThreadPoolExecutor(len(self._deployments), "stop") as executor:
                for deployment in self._deployments:
                    executor.submit(deployment.stop)

    @property
    def details(self) -> dict[str, int]:
        """Counts of callers, for the table."""
        return dict(sorted(self._ledger.counts.items()))

    def _change_everything(self) -> None:
        grantowo, sublocar = self._scenarios
        time.sleep(2)
        self._say("a balancer joins each deployment")
        grantowo.add_balancer()
        sublocar.add_balancer()
        time.sleep(2)
        self._say("operators add an address to each feed")
        grantowo.change_configuration()
        sublocar.change_configuration()
        self._say("news reaches one balancer of each late; an upstream drains")
        releases = [s.hold_views(0) for s in self._scenarios]
        grantowo.drain_upstream("editor-1")
        sublocar.drain_upstream("marketplace-1")
        time.sleep(4)
        for release in releases:
            release()
        time.sleep(2)
        self._say("a balancer of each dies; its fabric notices a second later")
        grantowo.kill_balancer(1)
        sublocar.kill_balancer(1)
        time.sleep(2)
        self._say("the key-value service is cut off; an upstream of each dies")
        for scenario in self._scenarios:
            scenario.cut_store(available=False)
        time.sleep(1)
        grantowo.kill_upstream("editor-2")
        sublocar.kill_upstream("marketplace-2")
        time.sleep(5)
        for scenario in self._scenarios:
            scenario.cut_store(available=True)
        self._say("the key-value service is back; operators add an address again")
        grantowo.change_configuration()
        sublocar.change_configuration()
        self._say("a balancer of each leaves as planned")
        grantowo.remove_balancer(0)
        sublocar.remove_balancer(0)
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
