"""A process's view: configuration and members at one moment, immutable."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from types import MappingProxyType

from attrs import field
from attrs import frozen

from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.core import Service


# Suspicion may be wrong, so a suspect keeps its buckets until it is gone.
PLACEABLE_STATES = frozenset({MemberState.READY, MemberState.SUSPECT})


@frozen(eq=False)
class View:
    """What a process believes of the whole system.

    Attributes:
        version: Counts the changes that this process has seen.
        services_by_id: Configured services.
        members_by_id: Known members, gone ones included while remembered.
        services_by_address: Services by their addresses.
        agents_by_class: Agents by the upstream class they serve, ordered by id.
    """

    version: int
    services_by_id: Mapping[str, Service]
    members_by_id: Mapping[str, Member]
    services_by_address: Mapping[Endpoint, Service] = field(init=False)
    agents_by_class: Mapping[str, tuple[Member, ...]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        services = {
            address: service
            for service in self.services_by_id.values()
            for address in service.addresses
        }
        agents: dict[str, list[Member]] = {}
        for member_id in sorted(self.members_by_id):
            member = self.members_by_id[member_id]
            if member.role is Role.AGENT:
                agents.setdefault(member.upstream_class, []).append(member)
        by_class = {name: tuple(members) for name, members in agents.items()}
        object.__setattr__(self, "services_by_address", MappingProxyType(services))
        object.__setattr__(self, "agents_by_class", MappingProxyType(by_class))

    def agents_of(self, service: Service) -> tuple[Member, ...]:
        """Lists all agents of a service in any state.

        Args:
            service: The service.

        Returns:
            Its agents ordered by member id.
        """
        return self.agents_by_class.get(service.upstream_class, ())

    def eligible_agents_of(self, service: Service) -> tuple[Member, ...]:
        """Lists the agents that may own buckets of a service.

        Args:
            service: The service.

        Returns:
            Agents that are ready, not drained or evacuated by operators, and allowed
            by placement.
        """
        return tuple(
            agent
            for agent in self.agents_of(service)
            if agent.state in PLACEABLE_STATES
            and agent.weight > 0
            and not is_drained(service, agent)
            and (not service.placement or agent.failure_domain in service.placement)
        )


def is_drained(service: Service, agent: Member) -> bool:
    """Says whether operators let an agent have no new work of a service.

    Args:
        service: The service.
        agent: The agent.

    Returns:
        Whether it is drained by itself, or its failure domain is evacuated.
    """
    is_evacuated = agent.failure_domain in service.evacuated
    return is_evacuated or agent.member_id in service.drained


def make_view(
    *, version: int, services: Iterable[Service], members: Iterable[Member]
) -> View:
    """Builds a view.

    Args:
        version: Version of the view in this process.
        services: Configured services; tombstones of deleted ones are left out.
        members: Known members.

    Returns:
        The view.
    """
    live = {s.service_id: s for s in services if not s.deleted}
    return View(
        version=version,
        services_by_id=MappingProxyType(live),
        members_by_id=MappingProxyType({m.member_id: m for m in members}),
    )
