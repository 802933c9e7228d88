"""Updates that a watcher sends the agents of a class, of peers and services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinshift.membership.table import hash_text
from siskinshift.messages.core import Member
from siskinshift.messages.core import Service


if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinshift.membership.table import MemberTable


@define(eq=False)
class _Sent:
    revision: int
    was_hash: str


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
    """Chooses between the last changes of a class and all of it.

    An agent sends the hash of what it knows with each heartbeat. When it differs,
    a watcher sends the changes since its last update; when the same hash
    comes again, the difference is another one, and the whole class is sent.
    """

    def __init__(self, table: MemberTable) -> None:
        """Has sent nothing yet.

        Args:
            table: What the watcher knows.
        """
        self._table = table
        self._sent_by_id: dict[str, _Sent] = {}

    def forget(self, agent_id: str) -> None:
        """Drops what is kept for an agent.

        Args:
            agent_id: The agent.
        """
        self._sent_by_id.pop(agent_id, None)

    def update_for(
        self, agent_id: str, upstream_class: str, view_hash: str
    ) -> ClassUpdate:
        """Lists what an agent lacks.

        Args:
            agent_id: The agent.
            upstream_class: Its class.
            view_hash: Hash of what it knows.

        Returns:
            The records.
        """
        records = self._table.class_records(upstream_class)
        sent = self._sent_by_id.get(agent_id)
        self._sent_by_id[agent_id] = _Sent(self._table.revision, view_hash)
        if view_hash == hash_text(records.state_hash):
            return NO_UPDATE
        repeated = sent is None or sent.was_hash == view_hash
        changes = records.changes
        if not records.is_large() or repeated or sent is None or not changes:
            return self._whole(upstream_class)
        if changes[0].revision > sent.revision + 1:
            return self._whole(upstream_class)
        fresh = [change for change in changes if change.revision > sent.revision]
        members = {change.key for change in fresh if not change.is_service}
        services = {change.key for change in fresh if change.is_service}
        return self._records(members, services, complete=False)

    def _whole(self, upstream_class: str) -> ClassUpdate:
        records = self._table.class_records(upstream_class)
        return self._records(records.member_ids, records.service_ids, complete=True)

    def _records(
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
