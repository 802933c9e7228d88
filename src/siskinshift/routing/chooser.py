"""The balancer's decision: a pure function from packet and view to an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from attrs import frozen

from siskinshift.core.errors import ErrorKind
from siskinshift.core.flows import flow_hash
from siskinshift.messages.core import Member
from siskinshift.routing.buckets import bucket_of
from siskinshift.routing.buckets import build_bucket_table


if TYPE_CHECKING:
    from siskinshift.core.packets import Packet
    from siskinshift.core.views import View
    from siskinshift.messages.core import Service
    from siskinshift.routing.buckets import BucketTable


@frozen
class SendTo:
    """Action: pass the packet to this agent.

    Attributes:
        agent: Primary of the flow's bucket.
    """

    agent: Member


@frozen
class DropPacket:
    """Action: drop the packet and count it.

    Attributes:
        error: Why.
    """

    error: ErrorKind


Choice: TypeAlias = SendTo | DropPacket


class AgentChooser:
    """Chooses an agent for each packet; holds nothing about any flow."""

    def __init__(self) -> None:
        self._view: View | None = None
        self._tables_by_service: dict[str, BucketTable] = {}

    def update(self, view: View) -> None:
        """Takes a new view; tables whose agents did not change are kept.

        Args:
            view: The view that decides from now on.
        """
        kept: dict[str, BucketTable] = {}
        for service in view.services_by_id.values():
            table = self._tables_by_service.get(service.service_id)
            if table and _same_agents(table.agents, view.placeable_agents_of(service)):
                kept[service.service_id] = table
        self._tables_by_service = kept
        self._view = view

    def choose(self, packet: Packet) -> Choice:
        """Chooses an agent.

        Args:
            packet: A caller's datagram.

        Returns:
            The agent to send it to, or why it is dropped.
        """
        if self._view is None:
            return DropPacket(ErrorKind.NO_MEMBER)
        service = self._view.services_by_address.get(packet.service_address)
        if service is None:
            return DropPacket(ErrorKind.UNKNOWN_ADDRESS)
        digest = flow_hash(caller=packet.caller, service_address=packet.service_address)
        agent = self.table_of(service).primary_of(bucket_of(digest))
        if agent is None:
            return DropPacket(ErrorKind.NO_MEMBER)
        return SendTo(agent)

    def table_of(self, service: Service) -> BucketTable:
        """Gives the bucket table of a service, made on first use.

        Args:
            service: A service of the current view.

        Returns:
            Its table.
        """
        table = self._tables_by_service.get(service.service_id)
        if table is None:
            assert self._view is not None
            table = build_bucket_table(self._view.placeable_agents_of(service))
            self._tables_by_service[service.service_id] = table
        return table


def _same_agents(left: tuple[Member, ...], right: tuple[Member, ...]) -> bool:
    if len(left) != len(right):
        return False
    return all(
        a.member_id == b.member_id and a.weight == b.weight and a.data == b.data
        for a, b in zip(left, right, strict=True)
    )
