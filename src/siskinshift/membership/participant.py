"""Defines the interface that both roles' membership protocols have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from siskinshift.membership.actions import Call
    from siskinshift.membership.actions import Message
    from siskinshift.membership.actions import Reply
    from siskinshift.membership.table import MemberTable
    from siskinshift.messages.core import Endpoint
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import MemberState


class Participant(Protocol):
    """Membership protocol of one process, without I/O and without a clock.

    Attributes:
        table: All known members and services.
    """

    table: MemberTable

    @property
    def own(self) -> Member:
        """State that the process announces of itself."""

    @property
    def watchers(self) -> tuple[Endpoint, ...]:
        """Control endpoints of the watchers that heartbeats are sent to."""

    def due(self, now: float) -> list[Call]:
        """Returns the messages to send now."""

    def next_due(self) -> float:
        """Returns when `due` should be called next, clock reading in seconds."""

    def handle(self, message: Message, *, now: float) -> Reply:
        """Handles a message from another process and returns the reply."""

    def on_reply(self, call: Call, reply: Reply, *, now: float) -> list[Call]:
        """Handles the reply to a call; returns further calls to send at once."""

    def on_failure(self, call: Call, *, now: float) -> None:
        """Handles a call that got no reply."""

    def change_own(
        self,
        *,
        state: MemberState,
        weight: int,
        now: float,
        entry_slot: int | None = None,
    ) -> None:
        """Changes the state that the process announces of itself."""

    def publish_merged_services(self, *, now: float) -> None:
        """Indexes records merged into the services; a balancer also sends them on."""
