"""Chooses the agent for a new flow by the power of two choices.

Flows last from a single request to minutes, upstreams have one to three slots, and load
reports are tens to hundreds of milliseconds old. If all balancers chose the agent with
the least reported load, they would choose the same one until the next report (herding).
With random choice alone the most loaded upstream holds half as many flows again as the
mean, which delays every request of its flows.

Of the agents that the flow's hash selects, two are drawn at random and the one with the
lower cost is chosen. The cost includes the flows that this node placed there since the
last report. Agents of the same failure domain are preferred, because traffic between
domains is charged and adds a millisecond, unless one of another domain costs less by
more than a margin.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.owner_lookup import home_agents
from siskinshift.core.members import FULL_WEIGHT
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from siskinshift.connections.evacuations import EvacuationRegister
    from siskinshift.connections.fleet import Peer


# Agents compared for a new flow.
CANDIDATES_COMPARED = 2
# A flow with a request in progress counts as this many open flows: an interactive flow
# sends about one request a second, which runs for some tens of milliseconds.
RUNNING_WEIGHT = 4.0
# Flows for each slot by which an agent of another failure domain must be less loaded.
REMOTE_MARGIN = 3.0
# Unanswered opening packets in a row after which an agent is chosen last.
SUSPECTED_AFTER_UNANSWERED = 2


class AgentPlacement:
    """Chooses agents by their last reported load and the flows placed since."""

    def __init__(
        self, *, failure_domain: str, evacuations: EvacuationRegister, random: Random
    ) -> None:
        """Initializes the placement.

        Args:
            failure_domain: Failure domain of this node.
            evacuations: Failure domains that receive no new flows.
            random: Random source for the choice of candidates.
        """
        self._failure_domain = failure_domain
        self._evacuations = evacuations
        self._random = random

    def choose(
        self,
        agents: list[Peer],
        flow: bytes,
        *,
        attempted: Collection[str],
        now: float,
    ) -> Peer | None:
        """Chooses an agent for a new flow.

        Args:
            agents: Agents of the service.
            flow: The flow; its hash selects the agents that are compared.
            attempted: Member ids to which this flow was already offered.
            now: Clock reading, seconds.

        Returns:
            The agent, or None if no agent is eligible.
        """
        allowed = [agent for agent in agents if not self.is_evacuated(agent)]
        ready = [a for a in allowed if a.member.state is MemberState.READY]
        # A saturated link drops the heartbeats of all agents. If none is responsive,
        # they are probably healthy, and refusing callers would leave upstreams idle.
        responsive = [a for a in ready if not a.is_unresponsive(now=now)] or ready
        eligible = [a for a in responsive if a.member.member_id not in attempted]
        if not eligible:
            return None
        trusted = [
            agent
            for agent in eligible
            if agent.unanswered_openings < SUSPECTED_AFTER_UNANSWERED
        ]
        candidates = trusted or eligible
        local = [a for a in candidates if self._is_local(a)]
        remote = [a for a in candidates if not self._is_local(a)]
        local = home_agents(local, flow)
        remote = home_agents(remote, flow)
        best_local = self._best(local)
        best_remote = self._best(remote)
        if best_local is None or best_remote is None:
            return best_local or best_remote
        if cost(best_remote) + REMOTE_MARGIN < cost(best_local):
            return best_remote
        return best_local

    def is_evacuated(self, agent: Peer) -> bool:
        """Returns whether an agent's failure domain is evacuated: no new flows.

        Args:
            agent: The agent.
        """
        return self._evacuations.is_evacuated(agent.member.failure_domain)

    def _is_local(self, agent: Peer) -> bool:
        return agent.member.failure_domain == self._failure_domain

    def _best(self, agents: list[Peer]) -> Peer | None:
        if not agents:
            return None
        if len(agents) > CANDIDATES_COMPARED:
            agents = self._random.sample(agents, CANDIDATES_COMPARED)
        return min(agents, key=cost)


def cost(agent: Peer) -> float:
    """Estimates the load of an agent after one more flow.

    Args:
        agent: The agent.

    Returns:
        Load for each slot at full weight; it is scaled up for a cold upstream.
    """
    load = agent.load
    work = load.flows + agent.flows_since_load + RUNNING_WEIGHT * load.running
    capacity = agent.member.slots * max(1, agent.member.weight) / FULL_WEIGHT
    return (work + 1) / capacity
