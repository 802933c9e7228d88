"""Messages of schema/messages/configuration.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint


@frozen
class AppliedChange:
    """A change that took effect.

    Attributes:
        change_id: Id of the change.
        service_id: Service it changed.
        revision: Revision it was written at; 0 for the newest, whose revision is the root record's own.
    """

    change_id: str
    service_id: str
    revision: int = 0


@frozen
class Root:
    """The record that every change writes together with a service's record.

    Attributes:
        change_count: Changes that took effect so far.
        fence_count: Fences written so far; a fence makes a change with a lost answer fail for good.
        changes: The latest changes, oldest first.
    """

    change_count: int = 0
    fence_count: int = 0
    changes: tuple[AppliedChange, ...] = ()


@frozen
class EntrySlotHolder:
    """Value of an entry slot's key.

    Attributes:
        member_id: Balancer that holds the slot.
        control: Its control endpoint.
        incarnation: Its incarnation.
    """

    member_id: str
    control: Endpoint
    incarnation: int = 0
