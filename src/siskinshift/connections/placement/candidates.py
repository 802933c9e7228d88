"""Selects the agents among which a new flow is placed; the same for each cost policy.

The flow's hash selects a few agents of the own failure domain and a few of all others.
The lookup of an unknown flow's owner queries the same agents first, so a cost policy
may only choose among them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.connections.fleet import Peer
from siskinshift.connections.owner_lookup import home_agents
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinshift.connections.evacuations import EvacuationRegister


# Unanswered opening packets in a row after which an agent is chosen last.
SUSPECTED_AFTER_UNANSWERED = 2


@frozen
class Candidates:
    """The agents among which a new flow is placed.

    Attributes:
        local: Agents of the own failure domain that the flow's hash selects.
        remote: Agents of all other failure domains that it selects.
        responsive: All responsive ready agents of the service, for sums by domain.
        was_refused: Whether an agent has refused the flow because it was full.
    """

    local: Sequence[Peer]
    remote: Sequence[Peer]
    responsive: Sequence[Peer]
    was_refused: bool = False


def select_candidates(
    agents: Sequence[Peer],
    flow: bytes,
    *,
    failure_domain: str,
    evacuations: EvacuationRegister,
    attempted: Collection[str],
    was_refused: bool,
    now: float,
) -> Candidates | None:
    """Selects the agents among which a new flow is placed.

    Args:
        agents: Agents of the service.
        flow: The flow.
        failure_domain: Failure domain of this node.
        evacuations: Failure domains that receive no new flows.
        attempted: Member ids to which this flow was already offered.
        was_refused: Whether an agent has refused the flow because it was full.
        now: Clock reading, seconds.

    Returns:
        The candidates, at least one; None if no agent is eligible.
    """
    allowed = [
        a for a in agents if not evacuations.is_evacuated(a.member.failure_domain)
    ]
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
    local = [a for a in candidates if a.member.failure_domain == failure_domain]
    remote = [a for a in candidates if a.member.failure_domain != failure_domain]
    return Candidates(
        local=home_agents(local, flow),
        remote=home_agents(remote, flow),
        responsive=responsive,
        was_refused=was_refused,
    )
