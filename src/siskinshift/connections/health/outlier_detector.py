"""Selects at a balancer the agents that may get a new flow.

Thousands of flows open a second, and a service may have hundreds of agents, so its
agents are judged at intervals. In between the choice takes constant time unless agents
are ejected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.health.service_health import ServiceHealth


if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinshift.connections.evacuations import EvacuationRegister
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.node_settings import PolicySettings
    from siskinshift.observability.event_log import EventLog


# Reports of an agent are tens to hundreds of milliseconds apart.
EVALUATION_INTERVAL_SECONDS = 0.1
# Judging an agent takes 8 to 14 microseconds. At this interval for each agent of all
# services the processor time stays below half a percent of a core.
EVALUATION_INTERVAL_SECONDS_BY_AGENT = 0.004


class OutlierDetector:
    """Ejects agents whose upstreams fail, and lets them return gradually."""

    def __init__(
        self,
        settings: PolicySettings,
        *,
        evacuations: EvacuationRegister,
        log: EventLog,
    ) -> None:
        """Initializes the detector without records.

        Args:
            settings: Policy settings with the largest fraction to eject.
            evacuations: Failure domains that receive no new flows.
            log: Log of ejections, returns and probes.
        """
        self._settings = settings
        self._evacuations = evacuations
        self._log = log
        self._services_by_id: dict[str, ServiceHealth] = {}
        self._interval = EVALUATION_INTERVAL_SECONDS

    def eligible(
        self,
        service_id: str,
        agents: list[Peer],
        *,
        attempted: Collection[str] = (),
        now: float,
    ) -> list[Peer]:
        """Returns the agents that may get a new flow.

        Args:
            service_id: The service.
            agents: Its agents, in any state.
            attempted: Member ids to which the flow was already offered. A flow whose
                opening failed once is not used as a probe.
            now: Clock reading, seconds.

        Returns:
            Agents with their full share, those in slow start whose turn it is, or one
            ejected agent as a probe; not empty unless `agents` is.
        """
        service = self._services_by_id.get(service_id)
        if service is None:
            service = self._services_by_id[service_id] = ServiceHealth(
                service_id,
                self._settings,
                evacuations=self._evacuations,
                log=self._log,
            )
        is_due = now - service.evaluated_at >= self._interval
        if is_due or (service.has_restrictions and agents is not service.agents):
            service.evaluate(agents, now=now)
            self._on_evaluated()
        if not service.has_restrictions:
            return agents
        if not attempted:
            probed = service.next_probe(now=now)
            if probed is not None:
                return [probed]
        starting = [
            record.agent
            for record, fraction in service.slow_starting
            if record.admits_flow(fraction)
        ]
        eligible = [*service.eligible, *starting] if starting else service.eligible
        return eligible or agents

    def retain(self, service_ids: Collection[str]) -> None:
        """Discards the records of all other services.

        Args:
            service_ids: Services that the policy applies to.
        """
        if not self._services_by_id:
            return
        self._services_by_id = {
            service_id: service
            for service_id, service in self._services_by_id.items()
            if service_id in service_ids
        }
        self._on_evaluated()

    def _on_evaluated(self) -> None:
        services = self._services_by_id.values()
        agent_count = sum(len(service.agents) for service in services)
        self._interval = max(
            EVALUATION_INTERVAL_SECONDS,
            EVALUATION_INTERVAL_SECONDS_BY_AGENT * agent_count,
        )
        set_gauge = self._log.metrics.set_gauge
        set_gauge("ejected_agents", sum(len(s.ejected) for s in services))
        set_gauge("slow_start_agents", sum(len(s.slow_starting) for s in services))
        set_gauge("panicking_services", sum(s.is_panicking for s in services))
