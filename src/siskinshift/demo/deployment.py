"""A whole deployment in one process: stand-ins, balancers and agents."""

from __future__ import annotations

import socket
import tempfile
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import MappingProxyType
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.agent.application import AgentApplication
from siskinshift.balancer.application import BalancerApplication
from siskinshift.configuration.store import ConfigurationStore
from siskinshift.core.endpoints import format_endpoint
from siskinshift.demo.certificates import write_certificate
from siskinshift.kv.etcd import EtcdStore
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.settings.loader import SettingsLoader
from siskinshift.standins.fabric import FabricStandIn
from siskinshift.standins.kv import KvStandIn
from siskinshift.standins.upstream_pair import UpstreamStandIn


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinshift.messages.core import Member
    from siskinshift.settings.generated import Settings


LOOPBACK = "127.0.0.1"
FABRIC_SEED = 7
RAMP_SECONDS = 0.0
# The processes of the demo share one interpreter: less of what is said again anyway.
USAGE_SECONDS = 2.0
# Above the default: all agents start at once, and open claims cost processor time,
# which one interpreter has little of.
NOTES_BYTES_PER_SECOND = 100_000


@frozen
class ServicePlan:
    """Size of one service in the demo.

    Attributes:
        service_id: Name of the service.
        upstreams: Number of upstreams; 0 for a service on those of another one.
        slots: Slots of each upstream.
        mode: How callers speak to it.
        upstream_class: Class of its upstreams; that of its own name when empty.
    """

    service_id: str
    upstreams: int
    slots: int
    mode: ServiceMode = ServiceMode.REQUEST
    upstream_class: str = ""


def free_endpoint(kind: socket.SocketKind = socket.SOCK_STREAM) -> Endpoint:
    """Finds a port of the loopback address that is free now.

    Args:
        kind: TCP or UDP.

    Returns:
        The endpoint.
    """
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((LOOPBACK, 0))
        return Endpoint(*probe.getsockname())


def free_datagram_endpoint() -> Endpoint:
    """Finds a UDP port of the loopback address that is free now.

    Returns:
        The endpoint.
    """
    return free_endpoint(socket.SOCK_DGRAM)


class Deployment:
    """Starts and stops everything that a deployment needs.

    Attributes:
        kv: The key-value stand-in.
        fabric: The fabric stand-in.
        balancers_by_id: Running balancers.
        agents_by_id: Running agents.
        upstreams_by_id: Upstream stand-ins by the id of their agent.
        services_by_id: Configured services.
        killed: Agents whose instance died.
        certificate_path: Certificate of the service addresses, in PEM.
        private_key_path: Its key.
    """

    def __init__(
        self,
        *,
        name: str,
        plans: tuple[ServicePlan, ...],
        balancers: int,
        failure_domains: int = 1,
        addresses_by_service: Mapping[str, Endpoint] = MappingProxyType({}),
    ) -> None:
        """Prepares a deployment.

        Args:
            name: Name of the deployment, goes into node ids.
            plans: Its services.
            balancers: Number of balancers.
            failure_domains: Number of failure domains that processes are spread over.
            addresses_by_service: Service addresses that are not to be free ports.
        """
        self._name = name
        self._failure_domains = failure_domains
        self._started = 0
        self._plans = plans
        self._balancer_count = balancers
        self._seeds = [free_endpoint() for _ in range(balancers)]
        self.kv = KvStandIn(Endpoint(LOOPBACK, 0))
        self.services_by_id = {
            plan.service_id: _service(
                plan,
                addresses_by_service.get(plan.service_id)
                or free_endpoint(socket.SOCK_DGRAM),
            )
            for plan in plans
        }
        addresses = [s.addresses[0] for s in self.services_by_id.values()]
        self.fabric = FabricStandIn(
            addresses=addresses,
            return_endpoint=Endpoint(LOOPBACK, 0),
            balancers=(),
            seed=FABRIC_SEED,
        )
        self.balancers_by_id: dict[str, BalancerApplication] = {}
        self.agents_by_id: dict[str, AgentApplication] = {}
        self.killed: set[str] = set()
        self.upstreams_by_id: dict[str, UpstreamStandIn] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="siskinshift-")
        self.certificate_path, self.private_key_path = write_certificate(
            Path(self._directory.name)
        )

    def start(self) -> None:
        """Starts stand-ins, writes the configuration, starts all processes."""
        self.kv.start()
        self.fabric.start()
        self.write_configuration()
        for index, seed in enumerate(self._seeds):
            self.start_balancer(index, seed)
        for plan in self._plans:
            for index in range(plan.upstreams):
                self.start_agent(plan, index)

    def write_configuration(self) -> None:
        """Writes the services as an operator would."""
        store = self.operator_store()
        for service in self.services_by_id.values():
            store.write(service)

    def balancer_settings_lines(self) -> list[str]:
        """Gives settings that balancers have besides."""
        return []

    def agent_settings_lines(self) -> list[str]:
        """Gives settings that agents have besides."""
        return []

    def start_balancer(self, index: int, control: Endpoint) -> BalancerApplication:
        """Starts a balancer and shows it to the fabric.

        Args:
            index: Number of the balancer.
            control: Its control endpoint.

        Returns:
            The running balancer.
        """
        node_id = f"{self._name}-balancer-{index}"
        settings = self._settings(
            node_id, control=control, extra=self.balancer_settings_lines()
        )
        balancer = BalancerApplication(settings)
        balancer.start()
        self.balancers_by_id[node_id] = balancer
        self.refresh_fabric()
        return balancer

    def refresh_fabric(self) -> None:
        """Tells the fabric which balancers there are."""
        self.fabric.balancers = tuple(
            balancer.settings.node.data_endpoint
            for balancer in self.balancers_by_id.values()
        )

    def start_agent(self, plan: ServicePlan, index: int) -> AgentApplication:
        """Starts an upstream stand-in with its agent.

        Args:
            plan: Service it serves.
            index: Number of the upstream.

        Returns:
            The running agent.
        """
        node_id = f"{plan.service_id}-{index}"
        upstream = UpstreamStandIn(
            name=node_id, endpoint=Endpoint(LOOPBACK, 0), slots=plan.slots
        )
        upstream.start()
        agent_settings_lines = [
            "[agent]",
            f"upstream_class = {plan.service_id}",
            f"upstream_endpoint = {format_endpoint(upstream.endpoint)}",
            f"slots = {plan.slots}",
            f"certificate_file = {self.certificate_path}",
            f"private_key_file = {self.private_key_path}",
            f"fabric_return = {format_endpoint(self.fabric.return_endpoint)}",
            *self.agent_settings_lines(),
        ]
        agent = AgentApplication(self._settings(node_id, extra=agent_settings_lines))
        agent.start()
        self.agents_by_id[node_id] = agent
        self.upstreams_by_id[node_id] = upstream
        return agent

    def kill_balancer(self, node_id: str) -> None:
        """Ends a balancer without a word; the fabric goes on sending to it.

        Args:
            node_id: The balancer.
        """
        self.balancers_by_id.pop(node_id).abandon()

    def remove_balancer(self, node_id: str) -> None:
        """Lets a balancer leave in the planned way, as SIGTERM does.

        Args:
            node_id: The balancer.
        """
        balancer = self.balancers_by_id.pop(node_id)
        self.refresh_fabric()
        balancer.leave(threading.Event())
        balancer.stop()

    def kill_upstream(self, node_id: str) -> None:
        """Ends an upstream's instance with its agent without a word.

        Args:
            node_id: The agent.
        """
        self.killed.add(node_id)
        self.agents_by_id.pop(node_id).abandon()
        self.upstreams_by_id[node_id].stop()

    def hold_views(self, node_id: str) -> Callable[[], None]:
        """Keeps news from a balancer, as when updates reach it late.

        Args:
            node_id: The balancer.

        Returns:
            Call it to hand the news over.
        """
        views = self.balancers_by_id[node_id].membership.views
        publish = views.publish
        held: list[tuple[tuple[Service, ...], tuple[Member, ...]]] = []

        def hold(services: Iterable[Service], members: Iterable[Member]) -> None:
            held.append((tuple(services), tuple(members)))

        def release() -> None:
            views.publish = publish  # type: ignore[method-assign]
            if held:
                publish(*held[-1])

        views.publish = hold  # type: ignore[method-assign]
        return release

    def operator_store(self) -> ConfigurationStore:
        """Opens the configuration as an operator's tool does."""
        return ConfigurationStore(EtcdStore(self._settings("operator").kv))

    def stop(self) -> None:
        """Stops everything."""
        applications = (*self.agents_by_id.values(), *self.balancers_by_id.values())
        with ThreadPoolExecutor(len(applications) or 1, "stop") as executor:
            for application in applications:
                executor.submit(application.stop)
        for node_id, upstream in self.upstreams_by_id.items():
            if node_id not in self.killed:
                upstream.stop()
        self.fabric.stop()
        self.kv.stop()
        self._directory.cleanup()

    def _settings(
        self,
        node_id: str,
        *,
        control: Endpoint | None = None,
        extra: list[str] | None = None,
    ) -> Settings:
        control = control or free_endpoint()
        data = free_endpoint(socket.SOCK_DGRAM)
        seeds = ", ".join(format_endpoint(seed) for seed in self._seeds)
        failure_domain = self._started % self._failure_domains + 1
        self._started += 1
        lines = [
            "[node]",
            f"failure_domain = fd-{failure_domain}",
            f"node_id = {node_id}",
            f"control_endpoint = {format_endpoint(control)}",
            f"data_endpoint = {format_endpoint(data)}",
            "[keys]",
            "current = demo-key-of-sixteen-or-more",
            "[kv]",
            f"endpoints = {format_endpoint(self.kv.endpoint)}",
            "[flows]",
            f"ramp_duration = {RAMP_SECONDS}",
            f"notes_bytes_per_second = {NOTES_BYTES_PER_SECOND}",
            "[load]",
            f"usage_interval = {USAGE_SECONDS}",
            "[membership]",
            f"seeds = {seeds}",
            *(extra or []),
        ]
        return SettingsLoader(source=node_id).load("\n".join(lines))


def _service(plan: ServicePlan, address: Endpoint) -> Service:
    return Service(
        service_id=plan.service_id,
        addresses=(address,),
        mode=plan.mode,
        upstream_class=plan.upstream_class or plan.service_id,
        groups=(Group(group_id="default", share=1),),
    )
