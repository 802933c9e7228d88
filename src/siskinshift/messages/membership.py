"""Messages of schema/messages/membership.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Member
from siskinshift.messages.core import Service


@frozen
class Heartbeat:
    """A member's announcement of itself.

    Attributes:
        member: The sender.
    """

    member: Member


@frozen
class HeartbeatReply:
    """What the receiver of a heartbeat knows.

    Attributes:
        members: Members the receiver knows.
        services: Configuration the receiver holds.
    """

    members: tuple[Member, ...]
    services: tuple[Service, ...]
