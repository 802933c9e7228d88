"""Membership as an agent takes part in it: it knows its class and its watchers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.membership.announcer import Announcer
from siskinshift.membership.table import MemberTable
from siskinshift.membership.table import hash_text
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


# A watcher that lags may not have heard yet of a peer that another one told of.
LAG_SECONDS = 5.0


class AgentMembership:
    """Announces an agent and learns of its peers from the watchers' replies.

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
        """Prepares an agent that knows only itself.

        Args:
            own: State of the agent.
            services: Where its services are kept.
            settings: Intervals and seeds.
            random: Source of jitter.
        """
        self._settings = settings
        self._announcer = Announcer(own=own, settings=settings, random=random)
        self.table = MemberTable(services)
        self.table.merge(self._announcer.own, now=0.0)
        self._learned_at_by_id: dict[str, float] = {}

    @property
    def own(self) -> Member:
        """What the agent says of itself."""
        return self._announcer.own

    @property
    def watchers(self) -> tuple[Endpoint, ...]:
        """Control endpoints of its watchers."""
        return self._announcer.watchers

    def watched_by(self, endpoints: Iterable[Endpoint], *, now: float) -> None:
        """Takes the watchers to announce to.

        Args:
            endpoints: Their control endpoints.
            now: Clock reading, seconds.
        """
        self._announcer.watched_by(endpoints, now=now)

    def due(self, now: float) -> list[Call]:
        """Lists the heartbeats to send now.

        Args:
            now: Clock reading, seconds.

        Returns:
            The calls.
        """
        self.table.forget(older_than=now - self._settings.forget_after)
        return self._announcer.due(now, self._view_hash())

    def next_due(self) -> float:
        """Tells when `due` should be called next.

        Returns:
            Clock reading, seconds.
        """
        return self._announcer.next_due()

    def handle(self, message: Message, *, now: float) -> Reply:
        """Answers a probe; anything else is for balancers and gets an empty answer.

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
        """Takes what a watcher told.

        Args:
            call: The heartbeat.
            reply: The reply.
            now: Clock reading, seconds.

        Returns:
            Nothing follows at once.
        """
        if not isinstance(reply, HeartbeatReply):
            return []
        if not isinstance(call.message, Heartbeat):
            return []
        if reply.known is not None and self._announcer.refute(reply.known, now=now):
            self.table.merge(self.own, now=now)
        if reply.watchers:
            self._announcer.watched_by(reply.watchers, now=now)
        self._learn(reply, now)
        self._announcer.on_reply(
            call.endpoint, call.message, wanted=reply.wanted, now=now
        )
        return []

    def on_failure(self, call: Call, *, now: float) -> None:
        """Takes note that a watcher did not answer.

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
        """Changes what the agent says of itself.

        Args:
            state: New state.
            weight: New weight, 0 to 1000.
            now: Clock reading, seconds.
            entry_slot: New revision of the entry slot held; None to keep it.
        """
        self._announcer.change(
            state=state, weight=weight, now=now, entry_slot=entry_slot
        )
        self.table.merge(self.own, now=now)

    def services_changed(self, *, now: float) -> None:
        """Takes records that were merged into the services from elsewhere.

        Args:
            now: Clock reading, seconds.
        """
        self.table.take_services()

    def _view_hash(self) -> str:
        records = self.table.class_records(self.own.upstream_class)
        return hash_text(records.state_hash)

    def _learn(self, reply: HeartbeatReply, now: float) -> None:
        for member in reply.members:
            if member.member_id == self.own.member_id:
                if self._announcer.refute(stamp_of(member), now=now):
                    self.table.merge(self.own, now=now)
                continue
            if self.table.merge(member, now=now):
                self._learned_at_by_id[member.member_id] = now
        for service in reply.services:
            self.table.merge_service(service)
        if reply.complete:
            self._drop_missing({member.member_id for member in reply.members}, now)

    def _drop_missing(self, told: set[str], now: float) -> None:
        # Failure: a peer went and was forgotten while this agent was cut off; no
        # watcher remembers it, so nobody would ever say that it is gone.
        for member_id, member in tuple(self.table.members_by_id.items()):
            if member_id in told or member_id == self.own.member_id:
                continue
            if member.state is MemberState.GONE:
                continue
            if now - self._learned_at_by_id.get(member_id, 0.0) > LAG_SECONDS:
                self.table.drop(member_id)
                self._learned_at_by_id.pop(member_id, None)
