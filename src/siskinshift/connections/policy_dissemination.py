"""Sends agents the load policies of their service; agents read no configuration.

An agent that restarts has no policies, and datagrams are lost. The policies are sent to
each incarnation of an agent once, to all agents when they change, and again with the
balancer's heartbeats.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.load_policies import NO_POLICIES
from siskinshift.connections.peer_codec import encode_service_policy


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.load_policies import LoadPolicies
    from siskinshift.connections.routes import RouteTable


class PolicyDissemination:
    """Tracks which agents have been sent the policies in force."""

    def __init__(self) -> None:
        """Initializes the dissemination without policies: nothing is sent."""
        self._policies = NO_POLICIES
        self._routes: RouteTable | None = None
        self._messages_by_service: dict[str, bytes] = {}
        self._sent_by_id: dict[str, tuple[int, bytes]] = {}

    def configure(self, policies: LoadPolicies, routes: RouteTable) -> None:
        """Applies the policies of a configuration.

        Args:
            policies: The policies.
            routes: The configuration.
        """
        self._policies = policies
        self._routes = routes
        self._messages_by_service.clear()

    def to_uninformed(self, agents: Iterable[Peer]) -> list[ToPeer]:
        """Returns the messages to agents that have not been sent the current policies.

        Args:
            agents: Agents to consider.

        Returns:
            The messages.
        """
        return self._messages(agents, only_uninformed=True)

    def to_all(self, agents: Iterable[Peer]) -> list[ToPeer]:
        """Returns the messages to agents whether or not they were sent before.

        Args:
            agents: Agents that get a heartbeat.

        Returns:
            The messages.
        """
        return self._messages(agents, only_uninformed=False)

    def _messages(
        self, agents: Iterable[Peer], *, only_uninformed: bool
    ) -> list[ToPeer]:
        if self._routes is None:
            return []
        actions = []
        for agent in agents:
            member = agent.member
            previous = self._sent_by_id.get(member.member_id)
            if not self._policies.is_any_in_force and previous is None:
                continue
            message = self._message_for(member.upstream_class, self._routes)
            sent = (member.incarnation, message)
            if only_uninformed and previous == sent:
                continue
            self._sent_by_id[member.member_id] = sent
            actions.append(ToPeer(agent.address, message))
        return actions

    def _message_for(self, service_id: str, routes: RouteTable) -> bytes:
        message = self._messages_by_service.get(service_id)
        if message is None:
            policy = self._policies.for_service(service_id, routes)
            message = encode_service_policy(policy)
            self._messages_by_service[service_id] = message
        return message
