"""Runs a complete deployment in one process: stand-ins, balancers and agents."""

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
RAMP_DURATION_SECONDS = 0.0
# Above the default of 0.5 s: the nodes share one interpreter, so they send less often.
USAGE_INTERVAL_SECONDS = 2.0
# Above the default: all agents start at once, and open claims cost processor time,
# which is scarce in one interpreter.
NOTES_BYTES_PER_SECOND = 100_000


@frozen
class ServicePlan:
    """Size of one service in the demo.

    Attributes:
        service_id: Name of the service.
        upstreams: Number of upstreams; 0 for a service that uses those of another one.
        slots: Slots of each upstream.
        mode: Mode of the service.
        upstream_class: Class of its upstreams; if empty, the service id.
    """

    service_id: str
    upstreams: int
    slots: int
    mode: ServiceMode = ServiceMode.REQUEST
    upstream_class: str = ""


def free_endpoint(kind: socket.SocketKind = socket.SOCK_STREAM) -> Endpoint:
    """Finds a free port of the loopback address.

    Args:
        kind: TCP or UDP.

    Returns:
        The endpoint.
    """
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((LOOPBACK, 0))
        return Endpoint(*probe.getsockname())


def free_datagram_endpoint() -> Endpoint:
    """Finds a free UDP port of the loopback address.

    Returns:
        The endpoint.
    """
    return free_endpoint(socket.SOCK_DGRAM)


class Deployment:
    """Starts and stops all processes and stand-ins of a deployment.

    Attributes:
        kv: The key-value stand-in.
        fabric: The fabric stand-in.
        balancers_by_id: Running balancers.
        agents_by_id: Running agents.
        upstreams_by_id: Upstream stand-ins by the id of their agent.
        services_by_id: Configured services.
        killed_agent_ids: Agents whose instance was killed.
        certificate_path: Certificate of the service addresses, in PEM.
        private_key_path: Private key of the certificate, in PEM.
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
        """Prepares a deployment without starting it.

        Args:
            name: Name of the deployment, a prefix of balancer ids.
            plans: Plans of its services.
            balancers: Number of balancers.
            failure_domains: Number of failure domains, to which nodes are assigned in
                turn.
            addresses_by_service: Fixed service addresses; the others get free ports.
        """
        self._name = name
        self._failure_domain_count = failure_domains
        self._started_count = 0
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
        self.killed_agent_ids: set[str] = set()
        self.upstreams_by_id: dict[str, UpstreamStandIn] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="siskinshift-")
        self.certificate_path, self.private_key_path = write_certificate(
            Path(self._directory.name)
        )

    def start(self) -> None:
        """Starts the stand-ins, writes the configuration and starts all nodes."""
        self.kv.start()
        self.fabric.start()
        self.write_configuration()
        for index, seed in enumerate(self._seeds):
            self.start_balancer(index, seed)
        for plan in self._plans:
            for index in range(plan.upstreams):
                self.start_agent(plan, index)

    def write_configuration(self) -> None:
        """Writes the services to the configuration store, as an operator does."""
        store = self.operator_store()
        for service in self.services_by_id.values():
            store.write(service)

    def balancer_settings_lines(self) -> list[str]:
        """Returns lines of additional settings for balancers."""
        return []

    def agent_settings_lines(self) -> list[str]:
        """Returns lines of additional settings for agents."""
        return []

    def start_balancer(self, index: int, control: Endpoint) -> BalancerApplication:
        """Starts a balancer and adds it to the fabric.

        Args:
            index: Number of the balancer.
            control: Control endpoint of the balancer.

        Returns:
            The running balancer.
        """
        node_id = f"{self._name}-balancer-{index}"
        settings = self._load_settings(
            node_id, control=control, extra_lines=self.balancer_settings_lines()
        )
        balancer = BalancerApplication(settings)
        balancer.start()
        self.balancers_by_id[node_id] = balancer
        self.refresh_fabric()
        return balancer

    def refresh_fabric(self) -> None:
        """Updates the list of balancers in the fabric."""
        self.fabric.balancers = tuple(
            balancer.settings.node.data_endpoint
            for balancer in self.balancers_by_id.values()
        )

    def start_agent(self, plan: ServicePlan, index: int) -> AgentApplication:
        """Starts an upstream stand-in with its agent.

        Args:
            plan: Plan of the service that it serves.
            index: Number of the upstream.

        Returns:
            The running agent.
        """
        node_id = f"{plan.service_id}-{index}"
        upstream = UpstreamStandIn(
            name=node_id, endpoint=Endpoint(LOOPBACK, 0), slots=plan.slots
        )
        upstream.start()
        lines = [
            "[agent]",
            f"upstream_class = {plan.service_id}",
            f"upstream_endpoint = {format_endpoint(upstream.endpoint)}",
            f"slots = {plan.slots}",
            f"certificate_file = {self.certificate_path}",
            f"private_key_file = {self.private_key_path}",
            f"fabric_return = {format_endpoint(self.fabric.return_endpoint)}",
            *self.agent_settings_lines(),
        ]
        agent = AgentApplication(self._load_settings(node_id, extra_lines=lines))
        agent.start()
        self.agents_by_id[node_id] = agent
        self.upstreams_by_id[node_id] = upstream
        return agent

    def kill_balancer(self, node_id: str) -> None:
        """Kills a balancer without notice; the fabric continues to send to it.

        Args:
            node_id: The balancer.
        """
        self.balancers_by_id.pop(node_id).abort()

    def remove_balancer(self, node_id: str) -> None:
        """Shuts a balancer down gracefully, as SIGTERM does.

        Args:
            node_id: The balancer.
        """
        balancer = self.balancers_by_id.pop(node_id)
        self.refresh_fabric()
        balancer.leave(threading.Event())
        balancer.stop()

    def kill_upstream(self, node_id: str) -> None:
        """Kills an instance, an upstream with its agent, without notice.

        Args:
            node_id: The agent.
        """
        self.killed_agent_ids.add(node_id)
        self.agents_by_id.pop(node_id).abort()
        self.upstreams_by_id[node_id].stop()

    def delay_view_updates(self, node_id: str) -> Callable[[], None]:
        """Delays view updates of a balancer, as if they arrived late.

        Args:
            node_id: The balancer.

        Returns:
            A function that applies the latest update and ends the delay.
        """
        views = self.balancers_by_id[node_id].membership.views
        publish = views.publish
        delayed_updates: list[tuple[tuple[Service, ...], tuple[Member, ...]]] = []

        def delay(services: Iterable[Service], members: Iterable[Member]) -> None:
            delayed_updates.append((tuple(services), tuple(members)))

        def release() -> None:
            views.publish = publish  # type: ignore[method-assign]
            if delayed_updates:
                publish(*delayed_updates[-1])

        views.publish = delay  # type: ignore[method-assign]
        return release

    def operator_store(self) -> ConfigurationStore:
        """Opens the configuration store, as operators' tools do."""
        return ConfigurationStore(EtcdStore(self._load_settings("operator").kv))

    def stop(self) -> None:
        """Stops all nodes and stand-ins."""
        applications = (*self.agents_by_id.values(), *self.balancers_by_id.values())
        with ThreadPoolExecutor(len(applications) or 1, "stop") as executor:
            for application in applications:
                executor.submit(application.stop)
        for node_id, upstream in self.upstreams_by_id.items():
            if node_id not in self.killed_agent_ids:
                upstream.stop()
        self.fabric.stop()
        self.kv.stop()
        self._directory.cleanup()

    def _load_settings(
        self,
        node_id: str,
        *,
        control: Endpoint | None = None,
        extra_lines: list[str] | None = None,
    ) -> Settings:
        control = control or free_endpoint()
        data = free_endpoint(socket.SOCK_DGRAM)
        seeds = ", ".join(format_endpoint(seed) for seed in self._seeds)
        failure_domain = self._started_count % self._failure_domain_count + 1
        self._started_count += 1
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
            f"ramp_duration = {RAMP_DURATION_SECONDS}",
            f"notes_bytes_per_second = {NOTES_BYTES_PER_SECOND}",
            "[load]",
            f"usage_interval = {USAGE_INTERVAL_SECONDS}",
            "[membership]",
            f"seeds = {seeds}",
            *(extra_lines or []),
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
