"""Messages of schema/messages/configuration.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint


@frozen
class AppliedChange:
    """A change that took effect.

    Attributes:
        change_id: Id of the change.
        service_id: Service that was changed.
        revision: Revision of the change; 0 for the latest one, which has the revision of the root record.
    """

    change_id: str
    service_id: str
    revision: int = 0


@frozen
class Root:
    """Root record, which each change writes together with the record of a service.

    Attributes:
        change_count: Number of changes that took effect.
        fence_count: Number of fences written. A fence makes a change whose response was lost fail permanently.
        changes: The latest changes, oldest first.
    """

    change_count: int = 0
    fence_count: int = 0
    changes: tuple[AppliedChange, ...] = ()


@frozen
class EntrySlotHolder:
    """Value of an entry slot's key.

    Attributes:
        member_id: Member id of the balancer that holds the slot.
        control: Control endpoint of the balancer.
        incarnation: Incarnation of the balancer.
    """

    member_id: str
    control: Endpoint
    incarnation: int = 0
