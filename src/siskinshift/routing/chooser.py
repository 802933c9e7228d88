"""Selection of the agent for a packet: a pure function of the packet and the view."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from attrs import frozen

from siskinshift.core.errors import ErrorKind
from siskinshift.core.flows import hash_flow
from siskinshift.core.views import View
from siskinshift.messages.core import Member
from siskinshift.routing.buckets import BucketTable
from siskinshift.routing.buckets import bucket_of
from siskinshift.routing.buckets import build_bucket_table


if TYPE_CHECKING:
    from siskinshift.core.packets import Packet
    from siskinshift.messages.core import Service


@frozen
class SendTo:
    """Action: forward the packet to this agent.

    Attributes:
        agent: Primary of the flow's bucket.
    """

    agent: Member


@frozen
class DropPacket:
    """Action: drop the packet and count it.

    Attributes:
        error: The reason.
    """

    error: ErrorKind


RoutingDecision: TypeAlias = SendTo | DropPacket


@frozen(eq=False)
class _ViewTables:
    """Bucket tables of one view, built on first use of each service."""

    view: View
    tables_by_service: dict[str, BucketTable]
    stale_tables_by_service: dict[str, BucketTable]

    def bucket_table_of(self, service: Service) -> BucketTable:
        table = self.tables_by_service.get(service.service_id)
        if table is None:
            table = build_bucket_table(
                self.view.bucket_agents_of(service),
                self.stale_tables_by_service.get(service.service_id),
            )
            self.tables_by_service[service.service_id] = table
            self.stale_tables_by_service.pop(service.service_id, None)
        return table


class AgentChooser:
    """Selects an agent for each packet; holds no state of any flow.

    One thread may update the view while others choose. They continue with the tables of
    the old view, and tables that they add there are not used with the new view.
    """

    def __init__(self) -> None:
        self._tables: _ViewTables | None = None

    def update(self, view: View) -> None:
        """Applies a new view; tables whose agents did not change are kept.

        Args:
            view: The view used from now on.
        """
        if self._tables is None:
            self._tables = _ViewTables(view, {}, {})
            return
        old = self._tables
        previous_tables_by_service = {
            **old.stale_tables_by_service,
            **old.tables_by_service,
        }
        new = _ViewTables(view, {}, {})
        for service_id, table in previous_tables_by_service.items():
            service = view.services_by_id.get(service_id)
            if service is None:
                continue
            if service_id not in old.tables_by_service:
                new.stale_tables_by_service[service_id] = table
            elif _is_unchanged(service, old.view, view) or _has_same_agents(
                table.agents, view.bucket_agents_of(service)
            ):
                new.tables_by_service[service_id] = table
            else:
                # Rebuilt on first use from the outdated table.
                new.stale_tables_by_service[service_id] = table
        self._tables = new

    def choose(self, packet: Packet) -> RoutingDecision:
        """Selects the agent for a packet.

        Args:
            packet: A caller's datagram.

        Returns:
            The agent to forward it to, or the reason to drop it.
        """
        tables = self._tables
        if tables is None:
            return DropPacket(ErrorKind.NO_MEMBER)
        service = tables.view.services_by_address.get(packet.service_address)
        if service is None:
            return DropPacket(ErrorKind.UNKNOWN_ADDRESS)
        flow_hash = hash_flow(
            caller=packet.caller, service_address=packet.service_address
        )
        agent = tables.bucket_table_of(service).primary_of(bucket_of(flow_hash))
        if agent is None:
            return DropPacket(ErrorKind.NO_MEMBER)
        return SendTo(agent)

    def bucket_table_of(self, service: Service) -> BucketTable:
        """Returns the bucket table of a service, built on first use.

        Args:
            service: A service of the current view.

        Returns:
            Its table.
        """
        assert self._tables is not None
        return self._tables.bucket_table_of(service)


def _is_unchanged(service: Service, old_view: View, view: View) -> bool:
    # Members that did not change are the same objects in the next view, so this
    # comparison costs 0.02 us a member; at 6,000 members most services return here.
    if old_view.services_by_id.get(service.service_id) != service:
        return False
    return old_view.agents_of(service) == view.agents_of(service)


def _has_same_agents(left: tuple[Member, ...], right: tuple[Member, ...]) -> bool:
    if len(left) != len(right):
        return False
    return all(
        a.member_id == b.member_id and a.weight == b.weight and a.data == b.data
        for a, b in zip(left, right, strict=True)
    )
