"""Operators' changes to services and the records that they result in."""

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
        service: The service; its revision and change id are ignored.
    """

    service: Service

    @property
    def service_id(self) -> str:
        """Id of the service."""
        return self.service.service_id


@frozen
class ReplaceService:
    """Replaces a service except for its drains and evacuations.

    Attributes:
        service: The new content.
        revision: Revision of the service that the change is based on.
    """

    service: Service
    revision: int

    @property
    def service_id(self) -> str:
        """Id of the service."""
        return self.service.service_id


@frozen
class DeleteService:
    """Deletes a service.

    Attributes:
        service_id: The service.
        revision: Expected current revision of the service.
    """

    service_id: str
    revision: int


@frozen
class PutGroup:
    """Adds a group to a service or replaces it.

    Attributes:
        service_id: The service.
        group: The group.
        revision: Expected current revision of the service; 0 accepts any.
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
        revision: Expected current revision of the service; 0 accepts any.
    """

    service_id: str
    group_id: str
    revision: int = 0


@frozen
class SetShare:
    """Sets the share of a group.

    Attributes:
        service_id: The service.
        group_id: The group.
        share: The share, above 0.
        revision: Expected current revision of the service; 0 accepts any.
    """

    service_id: str
    group_id: str
    share: int
    revision: int = 0


@frozen
class SetDrain:
    """Starts or ends the drain of an agent for a service.

    Attributes:
        service_id: The service.
        member_id: Member id of the agent, which need not exist yet.
        drained: Whether the agent is drained.
        revision: Expected current revision of the service; 0 accepts any.
    """

    service_id: str
    member_id: str
    drained: bool
    revision: int = 0


@frozen
class SetEvacuation:
    """Starts or ends the evacuation of a failure domain for a service.

    Attributes:
        service_id: The service.
        failure_domain: The failure domain, which need not exist yet.
        evacuated: Whether the domain's agents receive no new flows.
        revision: Expected current revision of the service; 0 accepts any.
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
ChangeHandler: TypeAlias = Callable[[ChangeT, Service | None], Service]

_handlers_by_type: dict[type, ChangeHandler[Any]] = {}


def _handles(
    change_type: type[ChangeT],
) -> Callable[[ChangeHandler[ChangeT]], ChangeHandler[ChangeT]]:
    def register(handler: ChangeHandler[ChangeT]) -> ChangeHandler[ChangeT]:
        _handlers_by_type[change_type] = handler
        return handler

    return register


def apply_change(change: Change, current: Service | None) -> Service:
    """Returns the record of a service after a change.

    Args:
        change: The change.
        current: The current record or tombstone of the service; None if there is
            neither.

    Returns:
        The new record, not yet validated as a whole.

    Raises:
        ChangeRefusedError: The change can't be applied to the record.
    """
    return _handlers_by_type[type(change)](change, current)


@_handles(CreateService)
def _create(change: CreateService, current: Service | None) -> Service:
    if current is not None and not current.deleted:
        raise NameTakenError(f"service {change.service_id} exists")
    return attrs.evolve(change.service, deleted=False)


@_handles(ReplaceService)
def _replace(change: ReplaceService, current: Service | None) -> Service:
    current_service = _require_service(change.service_id, current)
    _check_revision(current_service, change.revision, required=True)
    # Drains and evacuations have their own changes; a replacement keeps them.
    return attrs.evolve(
        change.service,
        drained=current_service.drained,
        evacuated=current_service.evacuated,
        deleted=False,
    )


@_handles(DeleteService)
def _delete(change: DeleteService, current: Service | None) -> Service:
    current_service = _require_service(change.service_id, current)
    _check_revision(current_service, change.revision, required=True)
    return attrs.evolve(
        current_service,
        addresses=(),
        groups=(),
        placement=(),
        drained=(),
        evacuated=(),
        deleted=True,
    )


@_handles(PutGroup)
def _put_group(change: PutGroup, current: Service | None) -> Service:
    current_service = _require_service(change.service_id, current)
    _check_revision(current_service, change.revision)
    check_group(change.group)
    other_groups = tuple(
        group
        for group in current_service.groups
        if group.group_id != change.group.group_id
    )
    return attrs.evolve(current_service, groups=(*other_groups, change.group))


@_handles(DeleteGroup)
def _delete_group(change: DeleteGroup, current: Service | None) -> Service:
    current_service = _require_service(change.service_id, current)
    _check_revision(current_service, change.revision)
    _require_group(current_service, change.group_id)
    other_groups = tuple(
        group for group in current_service.groups if group.group_id != change.group_id
    )
    return attrs.evolve(current_service, groups=other_groups)


@_handles(SetShare)
def _set_share(change: SetShare, current: Service | None) -> Service:
    current_service = _require_service(change.service_id, current)
    _check_revision(current_service, change.revision)
    changed_group = attrs.evolve(
        _require_group(current_service, change.group_id), share=change.share
    )
    check_group(changed_group)
    groups = tuple(
        changed_group if group.group_id == change.group_id else group
        for group in current_service.groups
    )
    return attrs.evolve(current_service, groups=groups)


@_handles(SetDrain)
def _set_drain(change: SetDrain, current: Service | None) -> Service:
    current_service = _require_service(change.service_id, current)
    _check_revision(current_service, change.revision)
    check_name("member", change.member_id)
    other_ids = tuple(
        member_id
        for member_id in current_service.drained
        if member_id != change.member_id
    )
    drained = (*other_ids, change.member_id) if change.drained else other_ids
    return attrs.evolve(current_service, drained=drained)


@_handles(SetEvacuation)
def _set_evacuation(change: SetEvacuation, current: Service | None) -> Service:
    current_service = _require_service(change.service_id, current)
    _check_revision(current_service, change.revision)
    check_name("failure domain", change.failure_domain)
    other_domains = tuple(
        domain
        for domain in current_service.evacuated
        if domain != change.failure_domain
    )
    evacuated = (
        (*other_domains, change.failure_domain) if change.evacuated else other_domains
    )
    return attrs.evolve(current_service, evacuated=evacuated)


def _require_service(service_id: str, current: Service | None) -> Service:
    if current is None or current.deleted:
        raise UnknownNameError(f"service {service_id!r} does not exist")
    return current


def _require_group(service: Service, group_id: str) -> Group:
    for group in service.groups:
        if group.group_id == group_id:
            return group
    raise UnknownNameError(f"service {service.service_id} has no group {group_id!r}")


def _check_revision(
    current: Service, expected_revision: int, *, required: bool = False
) -> None:
    if expected_revision == 0 and not required:
        return
    if expected_revision <= 0:
        raise InvalidChangeError("the revision the change was made from is missing")
    if expected_revision != current.revision:
        raise RevisionConflictError(
            f"service {current.service_id} is at revision {current.revision}, "
            f"not {expected_revision}",
            current.revision,
        )
