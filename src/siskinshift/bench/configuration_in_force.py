"""Time from an accepted change to the last process that has it in force.

A local deployment over loopback sockets: balancers, agents and the key-value stand-in
in one process. A change is made as the operators' API makes it (the balancer that
answers takes the record at once), or written straight to the store (the balancer that
answered is gone, so the holders of the entry slots bring it).
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
SETTLE_SECONDS = 3.0
PAUSE_SECONDS = 0.3
POLL_SECONDS = 0.002
GIVE_UP_SECONDS = 10.0
SERVICE_ID = "editor"
GROUP_ID = "default"


@frozen
class InForceFigures:
    """Times until the last process had a change in force.

    Attributes:
        way: How the changes were made.
        changes: Number of changes.
        processes: Balancers and agents.
        median_seconds: Median.
        maximum_seconds: Longest.
    """

    way: str
    changes: int
    processes: int
    median_seconds: float
    maximum_seconds: float


def measure(deployment: Deployment, *, through_balancer: bool) -> InForceFigures:
    """Makes changes and waits for each to be in force everywhere.

    Args:
        deployment: A deployment that is ready.
        through_balancer: Whether a balancer takes the record at once.

    Returns:
        The figures.
    """
    balancers = list(deployment.balancers_by_id.values())
    nodes = [balancer.membership for balancer in balancers]
    nodes += [agent.membership for agent in deployment.agents_by_id.values()]
    store = ConfigurationStore(EtcdStore(balancers[0].settings.kv))
    times: list[float] = []
    for number in range(CHANGES):
        change = SetShare(SERVICE_ID, GROUP_ID, number + 2)
        accepted = store.apply(change, new_change_id())
        began = time.monotonic()
        if through_balancer and accepted.service is not None:
            nodes[0].services.merge(accepted.service)
            nodes[0].publish_merged_services()
        _wait_until_in_force(nodes, accepted.revision)
        times.append(time.monotonic() - began)
        time.sleep(PAUSE_SECONDS)
    times.sort()
    return InForceFigures(
        way="through a balancer" if through_balancer else "straight to the store",
        changes=len(times),
        processes=len(nodes),
        median_seconds=round(times[len(times) // 2], 3),
        maximum_seconds=round(times[-1], 3),
    )


def _wait_until_in_force(nodes: list[MembershipNode], revision: int) -> None:
    until = time.monotonic() + GIVE_UP_SECONDS
    while time.monotonic() < until:
        views = [node.views.current for node in nodes]
        if all(view.services_by_id[SERVICE_ID].revision >= revision for view in views):
            return
        time.sleep(POLL_SECONDS)
    raise TimeoutError("a change did not come into force")


def main() -> None:
    """Prints a table, then JSON."""
    plan = ServicePlan(SERVICE_ID, AGENTS, 1, ServiceMode.DATAGRAM)
    deployment = Deployment(name="bench", plans=(plan,), balancers=BALANCERS)
    deployment.start()
    try:
        wait_until_ready(deployment)
        time.sleep(SETTLE_SECONDS)
        figures = [measure(deployment, through_balancer=way) for way in (True, False)]
    finally:
        deployment.stop()
    for one in figures:
        print(" ".join(f"{value!s:>22}" for value in asdict(one).values()))
    print(orjson.dumps([asdict(one) for one in figures]).decode())


if __name__ == "__main__":
    main()
