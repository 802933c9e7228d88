"""Measures the time until every process applies an accepted change.

A local deployment runs balancers, agents and the key-value stand-in in one process,
over loopback sockets. A change is made as by the operators' API (the balancer that
responds applies the record at once) or is written directly to the store (as if that
balancer had failed, so that the holders of the entry slots distribute it).
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import orjson
from attrs import asdict
from attrs import frozen

from siskinshift.configuration.changes import SetShare
from siskinshift.configuration.store import ConfigurationStore
from siskinshift.configuration.store import new_change_id
from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.demo.readiness import wait_until_ready
from siskinshift.kv.etcd import EtcdStore
from siskinshift.messages.core import ServiceMode


if TYPE_CHECKING:
    from siskinshift.membership.node import MembershipNode


BALANCERS = 6
AGENTS = 6
CHANGES = 20
CONVERGE_SECONDS = 3.0
PAUSE_SECONDS = 0.3
POLL_SECONDS = 0.002
TIMEOUT_SECONDS = 10.0
SERVICE_ID = "editor"
GROUP_ID = "default"


@frozen
class InForceFigures:
    """Times until all processes have a change in force.

    Attributes:
        way: Path of the changes.
        changes: Number of changes.
        processes: Number of balancers and agents.
        median_seconds: Median time.
        maximum_seconds: Longest time.
    """

    way: str
    changes: int
    processes: int
    median_seconds: float
    maximum_seconds: float


def measure(deployment: Deployment, *, through_balancer: bool) -> InForceFigures:
    """Makes changes and waits until each is in force in all processes.

    Args:
        deployment: A deployment that is ready.
        through_balancer: Whether a balancer applies the record at once.

    Returns:
        The figures.
    """
    balancers = list(deployment.balancers_by_id.values())
    nodes = [balancer.membership for balancer in balancers]
    nodes += [agent.membership for agent in deployment.agents_by_id.values()]
    store = ConfigurationStore(EtcdStore(balancers[0].settings.kv))
    durations: list[float] = []
    for number in range(CHANGES):
        change = SetShare(SERVICE_ID, GROUP_ID, number + 2)
        accepted = store.apply(change, new_change_id())
        started_at = time.monotonic()
        if through_balancer and accepted.service is not None:
            nodes[0].services.merge(accepted.service)
            nodes[0].publish_merged_services()
        _wait_until_in_force(nodes, accepted.revision)
        durations.append(time.monotonic() - started_at)
        time.sleep(PAUSE_SECONDS)
    durations.sort()
    return InForceFigures(
        way="through a balancer" if through_balancer else "straight to the store",
        changes=len(durations),
        processes=len(nodes),
        median_seconds=round(durations[len(durations) // 2], 3),
        maximum_seconds=round(durations[-1], 3),
    )


def _wait_until_in_force(nodes: list[MembershipNode], revision: int) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        views = [node.views.current for node in nodes]
        if all(view.services_by_id[SERVICE_ID].revision >= revision for view in views):
            return
        time.sleep(POLL_SECONDS)
    raise TimeoutError("a change is not in force in all processes")


def main() -> None:
    """Prints a table and JSON."""
    plan = ServicePlan(SERVICE_ID, AGENTS, 1, ServiceMode.DATAGRAM)
    deployment = Deployment(name="bench", plans=(plan,), balancers=BALANCERS)
    deployment.start()
    try:
        wait_until_ready(deployment)
        time.sleep(CONVERGE_SECONDS)
        figures = [
            measure(deployment, through_balancer=through_balancer)
            for through_balancer in (True, False)
        ]
    finally:
        deployment.stop()
    for row in figures:
        print(" ".join(f"{value!s:>22}" for value in asdict(row).values()))
    print(orjson.dumps([asdict(row) for row in figures]).decode())


if __name__ == "__main__":
    main()
