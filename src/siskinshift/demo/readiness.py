"""Waits until a deployment is ready for callers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from siskinshift.core.members import FULL_WEIGHT
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from siskinshift.core.views import View
    from siskinshift.demo.deployment import Deployment


READY_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05


def wait_until_ready(deployment: Deployment) -> None:
    """Waits until all nodes have the services and ready agents that they need.

    Balancers need all of them; agents need the services and peers of their own class.

    Args:
        deployment: A started deployment.

    Raises:
        TimeoutError: The deployment was not ready within the timeout.
    """
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if _balancers_are_ready(deployment) and _agents_are_ready(deployment):
            return
        time.sleep(POLL_SECONDS)
    raise TimeoutError("the deployment did not become ready")


def _balancers_are_ready(deployment: Deployment) -> bool:
    services = set(deployment.services_by_id)
    agents = set(deployment.agents_by_id)
    views = [b.membership.views.current for b in deployment.balancers_by_id.values()]
    return all(_has_ready_members(view, services, agents) for view in views)


def _agents_are_ready(deployment: Deployment) -> bool:
    for agent in deployment.agents_by_id.values():
        upstream_class = agent.settings.agent.upstream_class
        peers = {
            node_id
            for node_id, peer in deployment.agents_by_id.items()
            if peer.settings.agent.upstream_class == upstream_class
        }
        services = {
            service_id
            for service_id, service in deployment.services_by_id.items()
            if service.upstream_class == upstream_class
        }
        if not _has_ready_members(agent.membership.views.current, services, peers):
            return False
    return True


def _has_ready_members(view: View, services: set[str], agents: set[str]) -> bool:
    members = view.members_by_id
    return services <= set(view.services_by_id) and all(
        node_id in members
        and members[node_id].state is MemberState.READY
        and members[node_id].weight == FULL_WEIGHT
        for node_id in agents
    )
