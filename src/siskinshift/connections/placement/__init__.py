"""Chooses the agent for a new flow, by a cost policy that the deployment calls for."""

from __future__ import annotations

# Imported for their registration as cost policies.
from siskinshift.connections.placement import open_flows
from siskinshift.connections.placement import wait_policy
from siskinshift.connections.placement.agent_placement import AgentPlacement
from siskinshift.connections.placement.candidates import SUSPECTED_AFTER_UNANSWERED
from siskinshift.connections.placement.open_flows import cost


__all__ = (
    "SUSPECTED_AFTER_UNANSWERED",
    "AgentPlacement",
    "cost",
    "open_flows",
    "wait_policy",
)
