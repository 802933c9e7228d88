"""Builds the updates of peers and services that a watcher sends to agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinshift.membership.table import format_hash
from siskinshift.messages.core import Member
from siskinshift.messages.core import Service


if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinshift.membership.table import MemberTable


@define(eq=False)
class _LastUpdate:
    revision: int
    view_hash: str


@frozen
class ClassUpdate:
    """Records for one agent.

    Attributes:
        members: Agents of its class.
        services: Services of its class.
        complete: Whether these are all of the class.
    """

    members: tuple[Member, ...]
    services: tuple[Service, ...]
    complete: bool


NO_UPDATE = ClassUpdate((), (), False)


class ClassUpdater:
    """Sends an agent either the last changes of its class or the whole class.

    An agent sends the hash of its records with each heartbeat. When the hash differs
    from the watcher's, the watcher sends the changes since its last update. When the
    agent sends the same hash again, these changes did not remove the difference, and
    the whole class is sent.
    """

    def __init__(self, table: MemberTable) -> None:
        """Initializes an updater that has sent no update yet.

        Args:
            table: Records of the watcher.
        """
        self._table = table
        self._last_updates_by_id: dict[str, _LastUpdate] = {}

    def remove_agent(self, agent_id: str) -> None:
        """Removes the last update of an agent.

        Args:
            agent_id: The agent.
        """
        self._last_updates_by_id.pop(agent_id, None)

    def update_for(
        self, agent_id: str, upstream_class: str, view_hash: str
    ) -> ClassUpdate:
        """Returns the records that an agent lacks.

        Args:
            agent_id: The agent.
            upstream_class: Its class.
            view_hash: Hash of the agent's records.

        Returns:
            The records.
        """
        records = self._table.class_records(upstream_class)
        last_update = self._last_updates_by_id.get(agent_id)
        self._last_updates_by_id[agent_id] = _LastUpdate(
            self._table.revision, view_hash
        )
        if view_hash == format_hash(records.state_hash):
            return NO_UPDATE
        repeated = last_update is None or last_update.view_hash == view_hash
        changes = records.changes
        if not records.is_large() or repeated or last_update is None or not changes:
            return self._full_update(upstream_class)
        if changes[0].revision > last_update.revision + 1:
            return self._full_update(upstream_class)
        unsent = [
            change for change in changes if change.revision > last_update.revision
        ]
        members = {change.key for change in unsent if not change.is_service}
        services = {change.key for change in unsent if change.is_service}
        return self._make_update(members, services, complete=False)

    def _full_update(self, upstream_class: str) -> ClassUpdate:
        records = self._table.class_records(upstream_class)
        return self._make_update(records.member_ids, records.service_ids, complete=True)

    def _make_update(
        self,
        member_ids: Collection[str],
        service_ids: Collection[str],
        *,
        complete: bool,
    ) -> ClassUpdate:
        members = self._table.members_by_id
        services = self._table.services.services_by_id
        return ClassUpdate(
            members=tuple(members[key] for key in sorted(member_ids) if key in members),
            services=tuple(services[key] for key in sorted(service_ids)),
            complete=complete,
        )
