"""Registry of the cost policies, which choose among the candidates for a new flow."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from attrs import define

from siskinshift.connections.node_settings import PolicySettings
from siskinshift.observability.event_log import EventLog


if TYPE_CHECKING:
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.placement.candidates import Candidates


# Agents compared for a new flow.
CANDIDATES_COMPARED = 2
OPEN_FLOWS = "open_flows"
EXPECTED_WAIT = "expected_wait"


def never() -> bool:
    """Returns False: the link is never short of room."""
    return False


@define(eq=False)
class PlacementContext:
    """What the cost policies of one node share.

    Attributes:
        failure_domain: Failure domain of this node.
        settings: Policy settings of the node.
        random: Random source for the choice of candidates.
        log: Records placements in other domains; None to record nothing.
        is_link_short: Returns whether this node's own link is short of room.
    """

    failure_domain: str
    settings: PolicySettings
    random: Random
    log: EventLog | None = None
    is_link_short: Callable[[], bool] = never


class CostPolicy(Protocol):
    """Chooses one of the candidates for a new flow."""

    def __init__(self, context: PlacementContext) -> None:
        """Initializes the policy.

        Args:
            context: What the policies of one node share.
        """

    def choose(self, candidates: Candidates, *, now: float) -> Peer:
        """Chooses an agent.

        Args:
            candidates: The candidates, at least one.
            now: Clock reading, seconds.

        Returns:
            One of the candidates.
        """


cost_policies_by_name: dict[str, type[CostPolicy]] = {}

PolicyT = TypeVar("PolicyT", bound=type[CostPolicy])


def register_cost_policy(name: str) -> Callable[[PolicyT], PolicyT]:
    """Registers the decorated class as a cost policy.

    Args:
        name: Name of the policy.

    Returns:
        The decorator.
    """

    def register(policy: PolicyT) -> PolicyT:
        cost_policies_by_name[name] = policy
        return policy

    return register
