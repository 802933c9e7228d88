"""What the decisions of both roles have in common for their runner."""

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
    """Membership decisions of one process; no I/O, no clock of their own.

    Attributes:
        table: What the process knows.
    """

    table: MemberTable

    @property
    def own(self) -> Member:
        """What the process says of itself."""

    @property
    def watchers(self) -> tuple[Endpoint, ...]:
        """Control endpoints of the watchers it announces to."""

    def due(self, now: float) -> list[Call]:
        """Lists the messages to send now."""

    def next_due(self) -> float:
        """Tells when `due` should be called next, clock reading in seconds."""

    def handle(self, message: Message, *, now: float) -> Reply:
        """Answers a message from another process."""

    def on_reply(self, call: Call, reply: Reply, *, now: float) -> list[Call]:
        """Takes the reply to a call; returns calls that follow at once."""

    def on_failure(self, call: Call, *, now: float) -> None:
        """Takes note that a call was not answered."""

    def change_own(
        self,
        *,
        state: MemberState,
        weight: int,
        now: float,
        entry_slot: int | None = None,
    ) -> None:
        """Changes what the process says of itself."""

    def services_changed(self, *, now: float) -> None:
        """Takes records that were merged into the services from elsewhere."""
