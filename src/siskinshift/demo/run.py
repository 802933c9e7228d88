"""Runs the demo and counts what callers saw."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

import orjson
from attrs import asdict
from attrs import frozen

from siskinshift.agent.life import FULL_WEIGHT
from siskinshift.demo.callers import DatagramCaller
from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.messages.core import Member
from siskinshift.messages.core import Role
from siskinshift.messages.core import ServiceMode


GRANTOWO = (
    ServicePlan("editor", 7, 1, ServiceMode.DATAGRAM),
    ServicePlan("dossiers", 3, 1, ServiceMode.DATAGRAM),
)
SUBLOCAR = (
    ServicePlan("marketplace", 7, 3, ServiceMode.DATAGRAM),
    ServicePlan("plans", 4, 3, ServiceMode.DATAGRAM),
)
BALANCERS = 3
CALLERS_PER_SERVICE = 20
EXCHANGES = 20
READY_TIMEOUT_SECONDS = 10.0


@frozen
class DemoFigures:
    """What callers counted.

    Attributes:
        flows_opened: Flows that callers opened.
        flows_broken_planned: Flows answered by more than one upstream.
        packets_misdelivered: Flows answered by an upstream of another service.
        requests: Exchanges asked for.
        lost: Exchanges without an answer.
        answers_wrong: Answers that belong to another question.
    """

    flows_opened: int
    flows_broken_planned: int
    packets_misdelivered: int
    requests: int
    lost: int
    answers_wrong: int

    def promises_kept(self) -> bool:
        """Tells whether callers saw what the brief promises."""
        broken = self.flows_broken_planned + self.packets_misdelivered
        return broken + self.lost + self.answers_wrong == 0


def run_demo() -> DemoFigures:
    """Runs both deployments and their callers.

    Returns:
        What callers counted.
    """
    deployments = [
        Deployment(name="grantowo", plans=GRANTOWO, balancers=BALANCERS),
        Deployment(name="sublocar", plans=SUBLOCAR, balancers=BALANCERS),
    ]
    callers_by_service: dict[str, list[DatagramCaller]] = {}
    try:
        for deployment in deployments:
            deployment.start()
        for deployment in deployments:
            wait_until_ready(deployment)
            for service in deployment.services_by_id.values():
                callers_by_service[service.service_id] = [
                    DatagramCaller(service.addresses[0])
                    for _ in range(CALLERS_PER_SERVICE)
                ]
        _exchange_all(callers_by_service)
        return _count(callers_by_service)
    finally:
        for callers in callers_by_service.values():
            for caller in callers:
                caller.close()
        for deployment in deployments:
            deployment.stop()


def print_demo() -> bool:
    """Runs the demo and prints its figures; the last line is JSON.

    Returns:
        Whether all promises were kept.
    """
    figures = run_demo()
    for name, value in asdict(figures).items():
        print(f"{name:24} {value:>8}")
    print(orjson.dumps(asdict(figures)).decode())
    return figures.promises_kept()


def wait_until_ready(deployment: Deployment) -> None:
    """Waits until every process knows all services and agents.

    Args:
        deployment: A started deployment.

    Raises:
        TimeoutError: It took too long.
    """
    until = time.monotonic() + READY_TIMEOUT_SECONDS
    while time.monotonic() < until:
        if _all_balancers_are_ready(deployment) and _all_agents_are_ready(deployment):
            return
        time.sleep(0.05)
    raise TimeoutError("the deployment did not become ready")


def _is_full(member: Member) -> bool:
    return member.role is Role.AGENT and member.weight == FULL_WEIGHT


def _all_balancers_are_ready(deployment: Deployment) -> bool:
    agents = set(deployment.agents_by_id)
    services = set(deployment.services_by_id)
    views = [
        one.membership.views.current for one in deployment.balancers_by_id.values()
    ]
    return all(
        set(view.services_by_id) == services
        and agents <= {m.member_id for m in view.members_by_id.values() if _is_full(m)}
        for view in views
    )


def _all_agents_are_ready(deployment: Deployment) -> bool:
    """Tells whether each agent knows all peers and services of its class."""
    for agent in deployment.agents_by_id.values():
        upstream_class = agent.settings.agent.upstream_class
        peers = {
            node_id
            for node_id, peer in deployment.agents_by_id.items()
            if peer.settings.agent.upstream_class == upstream_class
        }
        services = {
            service_id
            for service_id, service in deployment.services_by_id.items()
            if service.upstream_class == upstream_class
        }
        view = agent.membership.views.current
        if not peers <= set(view.members_by_id):
            return False
        if not services <= set(view.services_by_id):
            return False
    return True


def _exchange_all(callers_by_service: dict[str, list[DatagramCaller]]) -> None:
    callers = [caller for group in callers_by_service.values() for caller in group]

    def hold(caller: DatagramCaller) -> None:
        for _ in range(EXCHANGES):
            caller.exchange()

    with ThreadPoolExecutor(len(callers), "caller") as executor:
        for future in [executor.submit(hold, caller) for caller in callers]:
            future.result()


def _count(callers_by_service: dict[str, list[DatagramCaller]]) -> DemoFigures:
    callers = [caller for group in callers_by_service.values() for caller in group]
    misdelivered = sum(
        not owner.startswith(service_id)
        for service_id, group in callers_by_service.items()
        for caller in group
        for owner in caller.owners
    )
    return DemoFigures(
        flows_opened=len(callers),
        flows_broken_planned=sum(len(caller.owners) > 1 for caller in callers),
        packets_misdelivered=misdelivered,
        requests=len(callers) * EXCHANGES,
        lost=sum(caller.lost for caller in callers),
        answers_wrong=sum(caller.wrong for caller in callers),
    )
