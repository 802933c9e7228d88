"""Places flows by the open flows and running requests that agents report.

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

from siskinshift.connections.placement.cost_policies import CANDIDATES_COMPARED
from siskinshift.connections.placement.cost_policies import OPEN_FLOWS
from siskinshift.connections.placement.cost_policies import register_cost_policy
from siskinshift.core.members import FULL_WEIGHT


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.placement.candidates import Candidates
    from siskinshift.connections.placement.cost_policies import PlacementContext


# A flow with a request in progress counts as this many open flows: an interactive flow
# sends about one request a second, which runs for some tens of milliseconds.
RUNNING_WEIGHT = 4.0
# Flows for each slot by which an agent of another failure domain must be less loaded.
REMOTE_MARGIN = 3.0


@register_cost_policy(OPEN_FLOWS)
class OpenFlows:
    """The policy of deployments that call for no other."""

    def __init__(self, context: PlacementContext) -> None:
        """Initializes the policy; see `CostPolicy`."""
        self._random = context.random

    def choose(self, candidates: Candidates, *, now: float) -> Peer:
        """Chooses an agent; see `CostPolicy`."""
        if not candidates.remote:
            return self._best(candidates.local)
        if not candidates.local:
            return self._best(candidates.remote)
        best_local = self._best(candidates.local)
        best_remote = self._best(candidates.remote)
        return best_remote if is_worth_leaving(best_local, best_remote) else best_local

    def _best(self, agents: Sequence[Peer]) -> Peer:
        if len(agents) > CANDIDATES_COMPARED:
            agents = self._random.sample(agents, CANDIDATES_COMPARED)
        return min(agents, key=cost)


def is_worth_leaving(local: Peer, remote: Peer) -> bool:
    """Returns whether an agent of another domain is less loaded by the margin.

    Args:
        local: Agent of the own failure domain.
        remote: Agent of another failure domain.
    """
    return cost(remote) + REMOTE_MARGIN < cost(local)


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
