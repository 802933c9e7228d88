"""Immutable snapshot of configuration and members as a process has them."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from types import MappingProxyType

from attrs import field
from attrs import frozen

from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode


# A suspicion may be wrong, so a suspect keeps its buckets until it is gone.
ELIGIBLE_STATES = frozenset({MemberState.READY, MemberState.SUSPECT})


@frozen(eq=False)
class View:
    """The state of the whole system as known to one process.

    Attributes:
        version: Number of changes that this process has applied.
        services_by_id: Configured services.
        members_by_id: Known members, including gone ones until they expire.
        services_by_address: Services by service address.
        agents_by_class: Agents by the upstream class they serve, sorted by id.
    """

    version: int
    services_by_id: Mapping[str, Service]
    members_by_id: Mapping[str, Member]
    services_by_address: Mapping[Endpoint, Service] = field(init=False)
    agents_by_class: Mapping[str, tuple[Member, ...]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        services_by_address = {
            address: service
            for service in self.services_by_id.values()
            for address in service.addresses
        }
        members_by_class: dict[str, list[Member]] = {}
        for member_id in sorted(self.members_by_id):
            member = self.members_by_id[member_id]
            if member.role is Role.AGENT:
                members_by_class.setdefault(member.upstream_class, []).append(member)
        agents_by_class = {
            name: tuple(members) for name, members in members_by_class.items()
        }
        object.__setattr__(
            self, "services_by_address", MappingProxyType(services_by_address)
        )
        object.__setattr__(self, "agents_by_class", MappingProxyType(agents_by_class))

    def agents_of(self, service: Service) -> tuple[Member, ...]:
        """Returns all agents of a service, whatever their state.

        Args:
            service: The service.

        Returns:
            The agents sorted by member id.
        """
        return self.agents_by_class.get(service.upstream_class, ())

    def eligible_agents_of(self, service: Service) -> tuple[Member, ...]:
        """Returns the agents that may serve new flows of a service.

        Args:
            service: The service.

        Returns:
            Agents that are ready or suspect, not drained or evacuated by operators,
            and allowed by placement.
        """
        return tuple(
            agent
            for agent in self._available_agents_of(service)
            if not is_drained(service, agent)
        )

    def bucket_agents_of(self, service: Service) -> tuple[Member, ...]:
        """Returns the agents that own the buckets of a service.

        If operators drained or evacuated all agents of a service of mode `request`,
        these agents own its buckets, in order to refuse requests: only an agent can
        respond to a caller's handshake, and without a response a caller waits for its
        own timeout. A flow of mode `datagram` can't be refused.

        Args:
            service: The service.

        Returns:
            The eligible agents, or the agents that refuse in their place.
        """
        eligible_agents = self.eligible_agents_of(service)
        if eligible_agents or service.mode is not ServiceMode.REQUEST:
            return eligible_agents
        return tuple(self._available_agents_of(service))

    def _available_agents_of(self, service: Service) -> Iterator[Member]:
        return (
            agent
            for agent in self.agents_of(service)
            if agent.state in ELIGIBLE_STATES
            and agent.weight > 0
            and (not service.placement or agent.failure_domain in service.placement)
        )


def is_drained(service: Service, agent: Member) -> bool:
    """Returns whether operators excluded an agent from new work of a service.

    Args:
        service: The service.
        agent: The agent.

    Returns:
        Whether the agent is drained or its failure domain is evacuated.
    """
    is_evacuated = agent.failure_domain in service.evacuated
    return is_evacuated or agent.member_id in service.drained


def make_view(
    *, version: int, services: Iterable[Service], members: Iterable[Member]
) -> View:
    """Creates a view.

    Args:
        version: Version of the view in this process.
        services: Configured services; tombstones are skipped.
        members: Known members.

    Returns:
        The view.
    """
    live_services_by_id = {s.service_id: s for s in services if not s.deleted}
    return View(
        version=version,
        services_by_id=MappingProxyType(live_services_by_id),
        members_by_id=MappingProxyType({m.member_id: m for m in members}),
    )
