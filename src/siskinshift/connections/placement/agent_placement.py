"""Chooses the agent for a new flow by the cost policy in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.node_settings import PolicySettings
from siskinshift.connections.placement.candidates import select_candidates
from siskinshift.connections.placement.cost_policies import EXPECTED_WAIT
from siskinshift.connections.placement.cost_policies import OPEN_FLOWS
from siskinshift.connections.placement.cost_policies import PlacementContext
from siskinshift.connections.placement.cost_policies import cost_policies_by_name


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from random import Random

    from siskinshift.connections.evacuations import EvacuationRegister
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.load_policies import LoadPolicies
    from siskinshift.observability.event_log import EventLog


class AgentPlacement:
    """Chooses agents; `open_flows` is in force until other policies are applied."""

    def __init__(
        self,
        *,
        failure_domain: str,
        evacuations: EvacuationRegister,
        random: Random,
        settings: PolicySettings | None = None,
        log: EventLog | None = None,
    ) -> None:
        """Initializes the placement.

        Args:
            failure_domain: Failure domain of this node.
            evacuations: Failure domains that receive no new flows.
            random: Random source for the choice of candidates.
            settings: Policy settings of the node; by default those of a deployment that
                sets none.
            log: Records placements in other domains; None to record nothing.
        """
        self._evacuations = evacuations
        self._context = PlacementContext(
            failure_domain=failure_domain,
            settings=settings or PolicySettings(),
            random=random,
            log=log,
        )
        self.policy_name = OPEN_FLOWS
        self._policy = cost_policies_by_name[OPEN_FLOWS](self._context)

    def apply(self, policies: LoadPolicies) -> None:
        """Selects the cost policy that a deployment calls for.

        Args:
            policies: The load policies in force.
        """
        name = EXPECTED_WAIT if policies.expected_wait else OPEN_FLOWS
        if name != self.policy_name:
            self.policy_name = name
            self._policy = cost_policies_by_name[name](self._context)

    def set_link_check(self, is_link_short: Callable[[], bool]) -> None:
        """Sets the check whether this node's own link is short of room.

        Args:
            is_link_short: Returns whether it is; called for placements in other
                domains.
        """
        self._context.is_link_short = is_link_short

    def choose(
        self,
        agents: list[Peer],
        flow: bytes,
        *,
        attempted: Collection[str],
        now: float,
        was_refused: bool = False,
    ) -> Peer | None:
        """Chooses an agent for a new flow.

        Args:
            agents: Agents of the service.
            flow: The flow; its hash selects the agents that are compared.
            attempted: Member ids to which this flow was already offered.
            now: Clock reading, seconds.
            was_refused: Whether an agent has refused this flow because it was full.

        Returns:
            The agent, or None if no agent is eligible.
        """
        candidates = select_candidates(
            agents,
            flow,
            failure_domain=self._context.failure_domain,
            evacuations=self._evacuations,
            attempted=attempted,
            was_refused=was_refused,
            now=now,
        )
        return self._policy.choose(candidates, now=now) if candidates else None

    def is_evacuated(self, agent: Peer) -> bool:
        """Returns whether an agent's failure domain is evacuated: no new flows.

        Args:
            agent: The agent.
        """
        return self._evacuations.is_evacuated(agent.member.failure_domain)
