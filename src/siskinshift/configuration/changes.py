"""The changes operators can make, and what each makes of a service's record."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TypeAlias
from typing import TypeVar

import attrs
from attrs import frozen

from siskinshift.configuration.exceptions import InvalidChangeError
from siskinshift.configuration.exceptions import NameTakenError
from siskinshift.configuration.exceptions import RevisionConflictError
from siskinshift.configuration.exceptions import UnknownNameError
from siskinshift.configuration.validation import check_group
from siskinshift.configuration.validation import check_name
from siskinshift.messages.core import Group
from siskinshift.messages.core import Service


@frozen
class CreateService:
    """Creates a service.

    Attributes:
        service: The service; revision and change id are passed over.
    """

    service: Service

    @property
    def service_id(self) -> str:
        """Service that is changed."""
        return self.service.service_id


@frozen
class ReplaceService:
    """Replaces the whole of a service but what is drained or evacuated.

    Attributes:
        service: The new content.
        revision: Revision it was made from.
    """

    service: Service
    revision: int

    @property
    def service_id(self) -> str:
        """Service that is changed."""
        return self.service.service_id


@frozen
class DeleteService:
    """Deletes a service.

    Attributes:
        service_id: The service.
        revision: Revision the operator has seen.
    """

    service_id: str
    revision: int


@frozen
class PutGroup:
    """Adds a group to a service or replaces it.

    Attributes:
        service_id: The service.
        group: The group.
        revision: Revision the operator has seen; 0 for whatever is current.
    """

    service_id: str
    group: Group
    revision: int = 0


@frozen
class DeleteGroup:
    """Removes a group from a service.

    Attributes:
        service_id: The service.
        group_id: The group.
        revision: Revision the operator has seen; 0 for whatever is current.
    """

    service_id: str
    group_id: str
    revision: int = 0


@frozen
class SetShare:
    """Sets the share a group is owed.

    Attributes:
        service_id: The service.
        group_id: The group.
        share: The share, above 0.
        revision: Revision the operator has seen; 0 for whatever is current.
    """

    service_id: str
    group_id: str
    share: int
    revision: int = 0


@frozen
class SetDrain:
    """Drains an agent of a service, or takes that back.

    Attributes:
        service_id: The service.
        member_id: Member id of the agent; it need not be known yet.
        drained: Whether it is to be drained.
        revision: Revision the operator has seen; 0 for whatever is current.
    """

    service_id: str
    member_id: str
    drained: bool
    revision: int = 0


@frozen
class SetEvacuation:
    """Evacuates a failure domain for a service, or takes it back.

    Attributes:
        service_id: The service.
        failure_domain: The failure domain; it need not be known yet.
        evacuated: Whether its agents are to get no new flows.
        revision: Revision the operator has seen; 0 for whatever is current.
    """

    service_id: str
    failure_domain: str
    evacuated: bool
    revision: int = 0


Change: TypeAlias = (
    CreateService
    | ReplaceService
    | DeleteService
    | PutGroup
    | DeleteGroup
    | SetShare
    | SetDrain
    | SetEvacuation
)
ChangeT = TypeVar("ChangeT")
Edit: TypeAlias = Callable[[ChangeT, Service | None], Service]

_edits_by_type: dict[type, Edit[Any]] = {}


def _edits(change_type: type[ChangeT]) -> Callable[[Edit[ChangeT]], Edit[ChangeT]]:
    def register(edit: Edit[ChangeT]) -> Edit[ChangeT]:
        _edits_by_type[change_type] = edit
        return edit

    return register


def edited(change: Change, current: Service | None) -> Service:
    """Works out the new content of a service.

    Args:
        change: The change.
        current: The service's record, a tombstone included; None without one.

    Returns:
        The new content, not yet checked as a whole.

    Raises:
        ChangeRefusedError: The change does not fit the record.
    """
    return _edits_by_type[type(change)](change, current)


@_edits(CreateService)
def _create(change: CreateService, current: Service | None) -> Service:
    if current is not None and not current.deleted:
        raise NameTakenError(f"service {change.service_id} exists")
    return attrs.evolve(change.service, deleted=False)


@_edits(ReplaceService)
def _replace(change: ReplaceService, current: Service | None) -> Service:
    live = _live(change.service_id, current)
    _check_seen(live, change.revision, required=True)
    # Both have changes of their own; a whole replacement must not end them.
    return attrs.evolve(
        change.service, drained=live.drained, evacuated=live.evacuated, deleted=False
    )


@_edits(DeleteService)
def _delete(change: DeleteService, current: Service | None) -> Service:
    live = _live(change.service_id, current)
    _check_seen(live, change.revision, required=True)
    return attrs.evolve(
        live,
        addresses=(),
        groups=(),
        placement=(),
        drained=(),
        evacuated=(),
        deleted=True,
    )


@_edits(PutGroup)
def _put_group(change: PutGroup, current: Service | None) -> Service:
    live = _live(change.service_id, current)
    _check_seen(live, change.revision)
    check_group(change.group)
    others = tuple(g for g in live.groups if g.group_id != change.group.group_id)
    return attrs.evolve(live, groups=(*others, change.group))


@_edits(DeleteGroup)
def _delete_group(change: DeleteGroup, current: Service | None) -> Service:
    live = _live(change.service_id, current)
    _check_seen(live, change.revision)
    _group_of(live, change.group_id)
    others = tuple(g for g in live.groups if g.group_id != change.group_id)
    return attrs.evolve(live, groups=others)


@_edits(SetShare)
def _set_share(change: SetShare, current: Service | None) -> Service:
    live = _live(change.service_id, current)
    _check_seen(live, change.revision)
    changed = attrs.evolve(_group_of(live, change.group_id), share=change.share)
    check_group(changed)
    groups = tuple(changed if g.group_id == change.group_id else g for g in live.groups)
    return attrs.evolve(live, groups=groups)


@_edits(SetDrain)
def _set_drain(change: SetDrain, current: Service | None) -> Service:
    live = _live(change.service_id, current)
    _check_seen(live, change.revision)
    check_name("member", change.member_id)
    others = tuple(m for m in live.drained if m != change.member_id)
    drained = (*others, change.member_id) if change.drained else others
    return attrs.evolve(live, drained=drained)


@_edits(SetEvacuation)
def _set_evacuation(change: SetEvacuation, current: Service | None) -> Service:
    live = _live(change.service_id, current)
    _check_seen(live, change.revision)
    check_name("failure domain", change.failure_domain)
    others = tuple(d for d in live.evacuated if d != change.failure_domain)
    evacuated = (*others, change.failure_domain) if change.evacuated else others
    return attrs.evolve(live, evacuated=evacuated)


def _live(service_id: str, current: Service | None) -> Service:
    if current is None or current.deleted:
        raise UnknownNameError(f"service {service_id!r} does not exist")
    return current


def _group_of(service: Service, group_id: str) -> Group:
    for group in service.groups:
        if group.group_id == group_id:
            return group
    raise UnknownNameError(f"service {service.service_id} has no group {group_id!r}")


def _check_seen(current: Service, seen: int, *, required: bool = False) -> None:
    if seen == 0 and not required:
        return
    if seen <= 0:
        raise InvalidChangeError("the revision the change was made from is missing")
    if seen != current.revision:
        raise RevisionConflictError(
            f"service {current.service_id} is at revision {current.revision}, "
            f"not {seen}",
            current.revision,
        )
