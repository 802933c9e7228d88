"""Choice of the agent for a new flow.

Pattern: flows that last minutes beside flows of one request, upstreams of one to
three slots, and reports of load that are tens to hundreds of milliseconds old. With
the least loaded by report everybody sends to the same one until the next report
(herding); with chance alone one upstream holds half as many flows again as the mean,
and each of its callers waits for that in every request of the flow's life.

Two agents are drawn and the less loaded one is taken; flows that this node sent there
since the report count as well. Agents of the own failure domain come first, because
bytes between domains cost and add a millisecond; another domain's agent is taken when
it is better by more than a margin.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.owner_search import home_agents
from siskinshift.core.members import FULL_WEIGHT
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from siskinshift.connections.evacuations import EvacuationRegister
    from siskinshift.connections.fleet import Peer


# Agents compared for a new flow.
CHOICES = 2
# A flow whose caller waits right now counts as much as this many open flows: an open
# flow of a person asks about once a second and runs for some tens of milliseconds.
RUNNING_WEIGHT = 4.0
# Flows by which a foreign agent must be better, for each slot.
FOREIGN_MARGIN = 3.0
# Opening packets in a row without an answer after which an agent comes last.
DOUBTED_AFTER = 2


class AgentPlacement:
    """Chooses agents by load as it is known now."""

    def __init__(
        self, *, failure_domain: str, evacuations: EvacuationRegister, random: Random
    ) -> None:
        """Prepares.

        Args:
            failure_domain: Failure domain of this node.
            evacuations: Failure domains that get no new flows.
            random: Source of the draws.
        """
        self._failure_domain = failure_domain
        self._evacuations = evacuations
        self._random = random

    def choose(
        self,
        agents: list[Peer],
        flow: bytes,
        *,
        tried: Collection[str],
        now: float,
    ) -> Peer | None:
        """Chooses an agent for a new flow.

        Args:
            agents: Agents of the service.
            flow: The flow; its hash names the agents that are compared.
            tried: Member ids that were asked for this flow already.
            now: Clock reading, seconds.

        Returns:
            The agent, or None when none may be asked.
        """
        allowed = [agent for agent in agents if not self.is_evacuated(agent)]
        ready = [a for a in allowed if a.member.state is MemberState.READY]
        # A full link loses all heartbeats alike. That nobody is heard is hardly the
        # agents' fault; refused callers would go without free upstreams.
        heard = [a for a in ready if not a.is_unresponsive(now=now)] or ready
        open_agents = [a for a in heard if a.member.member_id not in tried]
        if not open_agents:
            return None
        sure = [
            agent for agent in open_agents if agent.unanswered_openings < DOUBTED_AFTER
        ]
        candidates = sure or open_agents
        near = [a for a in candidates if self._is_near(a)]
        far = [a for a in candidates if not self._is_near(a)]
        near = home_agents(near, flow)
        far = home_agents(far, flow)
        best_near = self._best(near)
        best_far = self._best(far)
        if best_near is None or best_far is None:
            return best_near or best_far
        if cost(best_far) + FOREIGN_MARGIN < cost(best_near):
            return best_far
        return best_near

    def is_evacuated(self, agent: Peer) -> bool:
        """Says whether an agent may get no new flow because of its failure domain.

        Args:
            agent: The agent.
        """
        return self._evacuations.is_evacuated(agent.member.failure_domain)

    def _is_near(self, agent: Peer) -> bool:
        return agent.member.failure_domain == self._failure_domain

    def _best(self, agents: list[Peer]) -> Peer | None:
        if not agents:
            return None
        if len(agents) > CHOICES:
            agents = self._random.sample(agents, CHOICES)
        return min(agents, key=cost)


def cost(agent: Peer) -> float:
    """Estimates what a flow would meet at an agent.

    Args:
        agent: The agent.

    Returns:
        Load for each slot at full strength; a cold upstream's counts for more.
    """
    load = agent.load
    work = load.flows + agent.flows_since_load + RUNNING_WEIGHT * load.running
    strength = agent.member.slots * max(1, agent.member.weight) / FULL_WEIGHT
    return (work + 1) / strength
