"""Runs the agent's part of the membership protocol.

An agent sends heartbeats to its watchers and gets the records of its class in reply.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.membership.announcer import Announcer
from siskinshift.membership.table import MemberTable
from siskinshift.membership.table import format_hash
from siskinshift.membership.table import stamp_of
from siskinshift.messages.core import MemberState
from siskinshift.messages.membership import Compare
from siskinshift.messages.membership import CompareReply
from siskinshift.messages.membership import Digest
from siskinshift.messages.membership import DigestReply
from siskinshift.messages.membership import HeardQuery
from siskinshift.messages.membership import HeardReply
from siskinshift.messages.membership import Heartbeat
from siskinshift.messages.membership import HeartbeatReply
from siskinshift.messages.membership import News
from siskinshift.messages.membership import NewsReply
from siskinshift.messages.membership import Ping


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from siskinshift.configuration.table import ServiceTable
    from siskinshift.membership.actions import Call
    from siskinshift.membership.actions import Message
    from siskinshift.membership.actions import Reply
    from siskinshift.messages.core import Endpoint
    from siskinshift.messages.core import Member
    from siskinshift.settings.generated import MembershipSettings


# A lagging watcher may not have a peer yet that another watcher has already sent.
MAX_WATCHER_LAG_SECONDS = 5.0


class AgentMembership:
    """Announces an agent and receives its peers in the watchers' replies.

    Attributes:
        table: The agent itself, its class and the services of its class.
    """

    def __init__(
        self,
        *,
        own: Member,
        services: ServiceTable,
        settings: MembershipSettings,
        random: random.Random,
    ) -> None:
        """Initializes the membership with the agent itself as the only member.

        Args:
            own: State of the agent.
            services: Configuration of the process.
            settings: Intervals and seeds.
            random: Source of jitter.
        """
        self._settings = settings
        self._announcer = Announcer(own=own, settings=settings, random=random)
        self.table = MemberTable(services)
        self.table.merge(self._announcer.own, now=0.0)
        self._updated_at_by_id: dict[str, float] = {}

    @property
    def own(self) -> Member:
        """State that the agent announces of itself."""
        return self._announcer.own

    @property
    def watchers(self) -> tuple[Endpoint, ...]:
        """Control endpoints of the agent's watchers."""
        return self._announcer.watchers

    def set_watchers(self, endpoints: Iterable[Endpoint], *, now: float) -> None:
        """Replaces the watchers that heartbeats are sent to.

        Args:
            endpoints: Their control endpoints.
            now: Clock reading, seconds.
        """
        self._announcer.set_watchers(endpoints, now=now)

    def due(self, now: float) -> list[Call]:
        """Returns the heartbeats to send now.

        Args:
            now: Clock reading, seconds.

        Returns:
            The calls.
        """
        self.table.expire_gone(older_than=now - self._settings.forget_after)
        return self._announcer.due(now, self._view_hash())

    def next_due(self) -> float:
        """Returns when `due` should be called next.

        Returns:
            Clock reading, seconds.
        """
        return self._announcer.next_due()

    def handle(self, message: Message, *, now: float) -> Reply:
        """Replies to a probe; other messages are for balancers and get an empty reply.

        Args:
            message: The message.
            now: Clock reading, seconds.

        Returns:
            The reply.
        """
        match message:
            case Ping():
                own = self.own
                return Heartbeat(
                    member_id=own.member_id,
                    incarnation=own.incarnation,
                    version=own.version,
                    member=own,
                )
            case Heartbeat():
                return HeartbeatReply()
            case HeardQuery():
                return HeardReply()
            case News():
                return NewsReply()
            case Digest():
                return DigestReply()
            case Compare():
                return CompareReply()

    def on_reply(self, call: Call, reply: Reply, *, now: float) -> list[Call]:
        """Handles a watcher's reply.

        Args:
            call: The heartbeat.
            reply: The reply.
            now: Clock reading, seconds.

        Returns:
            Always an empty list, since an agent sends no further calls.
        """
        if not isinstance(reply, HeartbeatReply):
            return []
        if not isinstance(call.message, Heartbeat):
            return []
        if reply.known is not None and self._announcer.refute(reply.known, now=now):
            self.table.merge(self.own, now=now)
        if reply.watchers:
            self._announcer.set_watchers(reply.watchers, now=now)
        self._apply_update(reply, now)
        self._announcer.on_reply(
            call.endpoint, call.message, is_state_requested=reply.wanted, now=now
        )
        return []

    def on_failure(self, call: Call, *, now: float) -> None:
        """Handles a heartbeat that got no reply.

        Args:
            call: The heartbeat.
            now: Clock reading, seconds.
        """
        self._announcer.on_failure(call.endpoint, now=now)

    def change_own(
        self,
        *,
        state: MemberState,
        weight: int,
        now: float,
        entry_slot: int | None = None,
    ) -> None:
        """Changes the state that the agent announces of itself.

        Args:
            state: New state.
            weight: New weight, 0 to 1000.
            now: Clock reading, seconds.
            entry_slot: New revision of the entry slot held; None leaves it unchanged.
        """
        self._announcer.change(
            state=state, weight=weight, now=now, entry_slot=entry_slot
        )
        self.table.merge(self.own, now=now)

    def publish_merged_services(self, *, now: float) -> None:
        """Indexes records that other modules merged into the services.

        Args:
            now: Clock reading, seconds.
        """
        self.table.index_merged_services()

    def _view_hash(self) -> str:
        records = self.table.class_records(self.own.upstream_class)
        return format_hash(records.state_hash)

    def _apply_update(self, reply: HeartbeatReply, now: float) -> None:
        for member in reply.members:
            if member.member_id == self.own.member_id:
                if self._announcer.refute(stamp_of(member), now=now):
                    self.table.merge(self.own, now=now)
                continue
            if self.table.merge(member, now=now):
                self._updated_at_by_id[member.member_id] = now
        for service in reply.services:
            self.table.merge_service(service)
        if reply.complete:
            self._remove_unlisted({member.member_id for member in reply.members}, now)

    def _remove_unlisted(self, listed_ids: set[str], now: float) -> None:
        # If a peer left and expired while this agent was partitioned, no watcher lists
        # it any more, so none would ever report it as gone.
        for member_id, member in tuple(self.table.members_by_id.items()):
            if member_id in listed_ids or member_id == self.own.member_id:
                continue
            if member.state is MemberState.GONE:
                continue
            if (
                now - self._updated_at_by_id.get(member_id, 0.0)
                > MAX_WATCHER_LAG_SECONDS
            ):
                self.table.remove(member_id)
                self._updated_at_by_id.pop(member_id, None)
