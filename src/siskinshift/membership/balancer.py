"""Membership as a balancer takes part in it: it watches, passes on, compares."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import TYPE_CHECKING
from typing import TypeAlias

from siskinshift.membership.actions import Call
from siskinshift.membership.announcer import Announcer
from siskinshift.membership.announcer import hash_of_watchers
from siskinshift.membership.assignment import WatcherAssignment
from siskinshift.membership.class_updates import NO_UPDATE
from siskinshift.membership.class_updates import ClassUpdater
from siskinshift.membership.comparison import Comparison
from siskinshift.membership.comparison import answer_compare
from siskinshift.membership.comparison import answer_digest
from siskinshift.membership.gossip import Gossip
from siskinshift.membership.gossip import NewsKey
from siskinshift.membership.links import neighbours_of
from siskinshift.membership.ordering import expelled
from siskinshift.membership.ordering import suspected
from siskinshift.membership.silence import DOUBT_MINIMUM
from siskinshift.membership.silence import SilenceWatch
from siskinshift.membership.table import MemberTable
from siskinshift.membership.table import domain_of
from siskinshift.membership.table import stamp_of
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
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

    from siskinshift.configuration.table import ServiceTable
    from siskinshift.membership.actions import Message
    from siskinshift.membership.actions import Reply
    from siskinshift.messages.core import Endpoint
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import Service
    from siskinshift.settings.generated import MembershipSettings


AssignmentMaker: TypeAlias = Callable[[Iterable["Member"]], WatcherAssignment]

CHECK_SECONDS = 0.1
# Many balancers that start or go at once cost one new assignment, not one each.
REASSIGN_PAUSE_SECONDS = 1.0


class BalancerMembership:
    """Keeps the whole membership and a part of the watching.

    Attributes:
        table: Everything known.
        expelled_count: Members this balancer has expelled for their silence.
    """

    def __init__(
        self,
        *,
        own: Member,
        services: ServiceTable,
        settings: MembershipSettings,
        random: random.Random,
        make_assignment: AssignmentMaker = WatcherAssignment,
    ) -> None:
        """Prepares a balancer that knows only itself.

        Args:
            own: State of the balancer.
            services: Configuration held.
            settings: Intervals and seeds.
            random: Source of jitter and partners.
            make_assignment: Works out watchers; benchmarks share one between nodes.
        """
        self._settings = settings
        self._announcer = Announcer(own=own, settings=settings, random=random)
        self.table = MemberTable(services)
        self.expelled_count = 0
        self._watch = SilenceWatch(settings)
        self._teller = ClassUpdater(self.table)
        self._gossip = Gossip(random)
        self._comparison = Comparison(
            own=own, table=self.table, settings=settings, random=random
        )
        self._make_assignment = make_assignment
        self._assignment = make_assignment(())
        self._assigned_generation = -1
        self._own_domain_key: object = None
        self._assign_at = 0.0
        self._check_at = 0.0
        self._watchers_by_id: dict[str, tuple[Member, ...]] = {}
        self.table.merge(self.own, now=0.0)

    @property
    def own(self) -> Member:
        """What the balancer says of itself."""
        return self._announcer.own

    @property
    def watchers(self) -> tuple[Endpoint, ...]:
        """Control endpoints of its watchers."""
        return self._announcer.watchers

    @property
    def watched_ids(self) -> frozenset[str]:
        """Members that this balancer watches."""
        return self._watch.watched_ids

    @property
    def neighbours(self) -> tuple[Endpoint, ...]:
        """Balancers that it sends news to."""
        return self._gossip.neighbours

    @property
    def is_complete(self) -> bool:
        """Whether the whole state was compared with another balancer."""
        return self._comparison.is_complete

    def due(self, now: float) -> list[Call]:
        """Judges silence and lists the messages to send now.

        Args:
            now: Clock reading, seconds.

        Returns:
            The calls.
        """
        self._reassign(now)
        calls = self._judge(now)
        calls += self._announcer.due(now, "")
        calls += [
            Call(batch.endpoint, self._news(batch.keys))
            for batch in self._gossip.due(now)
        ]
        return calls + self._comparison.due(now)

    def next_due(self) -> float:
        """Tells when `due` should be called next.

        Returns:
            Clock reading, seconds.
        """
        times = [
            self._announcer.next_due(),
            self._gossip.next_due(),
            self._comparison.next_due(),
            self._check_at,
        ]
        if self._assigned_generation != self.table.balancer_generation:
            times.append(self._assign_at)
        return min(times)

    def handle(self, message: Message, *, now: float) -> Reply:
        """Answers a message from another process.

        Args:
            message: The message.
            now: Clock reading, seconds.

        Returns:
            The reply.
        """
        match message:
            case Heartbeat():
                return self._on_heartbeat(message, now)
            case News():
                return self._on_news(message, now)
            case Digest():
                return answer_digest(self.table, message)
            case Compare():
                return answer_compare(self.table, message)
            case HeardQuery():
                age = self._watch.age(message.member_id, now=now)
                return HeardReply() if age is None else HeardReply(age=age)
            case Ping():
                return self._sign_of_life()

    def on_reply(self, call: Call, reply: Reply, *, now: float) -> list[Call]:
        """Takes the reply to a call.

        Args:
            call: The call.
            reply: The reply.
            now: Clock reading, seconds.

        Returns:
            Calls that follow at once.
        """
        endpoint = call.endpoint
        match call.message, reply:
            case Heartbeat() as heartbeat, HeartbeatReply():
                if reply.known is not None and self._announcer.refute(
                    reply.known, now=now
                ):
                    self._merge(self.own, None, now)
                self._announcer.on_reply(
                    endpoint, heartbeat, wanted=reply.wanted, now=now
                )
            case News(), NewsReply():
                self._gossip.on_reply(endpoint, now=now)
            case Digest(), DigestReply():
                return self._comparison.on_digest_reply(endpoint, reply)
            case Compare(), CompareReply():
                self._merge_all(reply.members, reply.services, endpoint, now)
                return self._comparison.on_compare_reply(endpoint, reply)
            case Ping(), Heartbeat():
                if call.message.member_id == reply.member_id:
                    self._take_sign_of_life(reply, now)
            case HeardQuery(), HeardReply():
                if reply.age >= 0:
                    self._watch.heard(call.message.member_id, at=now - reply.age)
        return []

    def on_failure(self, call: Call, *, now: float) -> None:
        """Takes note that a call was not answered.

        Args:
            call: The call.
            now: Clock reading, seconds.
        """
        match call.message:
            case Heartbeat():
                self._announcer.on_failure(call.endpoint, now=now)
            case News():
                self._gossip.on_failure(call.endpoint, now=now)
            case Digest() | Compare():
                self._comparison.on_failure(call.endpoint, now=now)

    def change_own(
        self,
        *,
        state: MemberState,
        weight: int,
        now: float,
        entry_slot: int | None = None,
    ) -> None:
        """Changes what the balancer says of itself.

        Args:
            state: New state.
            weight: New weight, 0 to 1000.
            now: Clock reading, seconds.
            entry_slot: New revision of the entry slot held; None to keep it.
        """
        self._announcer.change(
            state=state, weight=weight, now=now, entry_slot=entry_slot
        )
        self._merge(self.own, None, now)

    def services_changed(self, *, now: float) -> None:
        """Passes on records that were merged into the services from elsewhere.

        Args:
            now: Clock reading, seconds.
        """
        for service in self.table.take_services():
            news = NewsKey(True, service.service_id)
            self._gossip.add(news, heard_from=None, now=now)

    def _judge(self, now: float) -> list[Call]:
        if now < self._check_at:
            return []
        self._check_at = now + CHECK_SECONDS
        doubted = self.table.mostly_suspect_domains(minimum=DOUBT_MINIMUM)
        verdicts = self._watch.check(now, doubted_elsewhere=doubted)
        calls = [
            call for member_id in verdicts.probe for call in self._probes(member_id)
        ]
        members = self.table.members_by_id
        for member_id in verdicts.suspect:
            self._merge(suspected(members[member_id]), None, now)
        for member_id in verdicts.expel:
            self.expelled_count += 1
            self._merge(expelled(members[member_id]), None, now)
        for member_id in self.table.forget(
            older_than=now - self._settings.forget_after
        ):
            self._watchers_by_id.pop(member_id, None)
        return calls

    def _probes(self, member_id: str) -> list[Call]:
        member = self.table.members_by_id[member_id]
        others = [
            Call(watcher.control, HeardQuery(member_id))
            for watcher in self._watchers_of(member)
            if watcher.member_id != self.own.member_id
        ]
        return [Call(member.control, Ping(member_id)), *others]

    def _on_heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatReply:
        member_id = heartbeat.member_id
        if heartbeat.member is not None and member_id == heartbeat.member.member_id:
            self._merge(heartbeat.member, None, now)
        known = self.table.members_by_id.get(member_id)
        told = (heartbeat.incarnation, heartbeat.version)
        if known is None or told > (known.incarnation, known.version):
            return HeartbeatReply(wanted=True)
        self._watch.heard(member_id, at=now)
        is_newer_here = told < (known.incarnation, known.version)
        watchers = self._changed_watchers(known, heartbeat)
        news = NO_UPDATE
        if known.role is Role.AGENT:
            news = self._teller.update_for(
                member_id, known.upstream_class, heartbeat.view_hash
            )
        return HeartbeatReply(
            known=stamp_of(known) if is_newer_here else None,
            watchers=watchers,
            members=news.members,
            services=news.services,
            complete=news.complete,
        )

    def _changed_watchers(
        self, member: Member, heartbeat: Heartbeat
    ) -> tuple[Endpoint, ...]:
        if member.role is Role.BALANCER:
            return ()  # Balancers know all others and work it out themselves.
        watchers = tuple(one.control for one in self._watchers_of(member))
        if hash_of_watchers(watchers) == heartbeat.watchers_hash:
            return ()
        return watchers

    def _on_news(self, news: News, now: float) -> NewsReply:
        sender = self.table.members_by_id.get(news.sender_id)
        endpoint = sender.control if sender is not None else None
        accepted = self._merge_all(news.members, news.services, endpoint, now)
        return NewsReply(accepted=accepted)

    def _sign_of_life(self) -> Heartbeat:
        own = self.own
        return Heartbeat(
            member_id=own.member_id,
            incarnation=own.incarnation,
            version=own.version,
            member=own,
        )

    def _take_sign_of_life(self, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.member is not None:
            self._merge(heartbeat.member, None, now)
        self._watch.heard(heartbeat.member_id, at=now)

    def _merge_all(
        self,
        members: tuple[Member, ...],
        services: tuple[Service, ...],
        heard_from: Endpoint | None,
        now: float,
    ) -> int:
        accepted = sum(self._merge(member, heard_from, now) for member in members)
        for service in services:
            news = NewsKey(True, service.service_id)
            if self.table.merge_service(service):
                accepted += 1
                self._gossip.add(news, heard_from=heard_from, now=now)
            elif heard_from is not None:
                self._note_duplicate_service(service, heard_from)
        return accepted

    def _note_duplicate_service(self, service: Service, heard_from: Endpoint) -> None:
        held = self.table.services.services_by_id.get(service.service_id)
        if held is not None and held.revision == service.revision:
            self._gossip.heard(NewsKey(True, service.service_id), heard_from)

    def _merge(self, member: Member, heard_from: Endpoint | None, now: float) -> bool:
        if member.member_id == self.own.member_id and self._announcer.refute(
            stamp_of(member), now=now
        ):
            member = self.own
            heard_from = None
        news = NewsKey(False, member.member_id)
        if self.table.merge(member, now=now):
            self._gossip.add(news, heard_from=heard_from, now=now)
            self._follow(member, now)
            return True
        held = self.table.members_by_id.get(member.member_id)
        if heard_from is not None and held == member:
            self._gossip.heard(news, heard_from)
        return False

    def _follow(self, member: Member, now: float) -> None:
        """Begins or ends the watch of a member whose state is news."""
        member_id = member.member_id
        if member.state is MemberState.GONE:
            self._watch.unwatch(member_id)
            self._teller.forget(member_id)
            self._watchers_by_id.pop(member_id, None)
            return
        if member_id in self._watch or member_id == self.own.member_id:
            return
        if self._assignment.watches(self.own, member):
            self._watch.watch(member_id, domain=domain_of(member), now=now)

    def _watchers_of(self, member: Member) -> tuple[Member, ...]:
        watchers = self._watchers_by_id.get(member.member_id)
        if watchers is None:
            watchers = self._assignment.watchers_of(member)
            self._watchers_by_id[member.member_id] = watchers
        return watchers

    def _reassign(self, now: float) -> None:
        generation = self.table.balancer_generation
        if generation == self._assigned_generation or now < self._assign_at:
            return
        self._assigned_generation = generation
        self._assign_at = now + REASSIGN_PAUSE_SECONDS
        members = self.table.members_by_id
        balancers = [one for one in members.values() if one.role is Role.BALANCER]
        self._assignment = self._make_assignment(balancers)
        self._watchers_by_id.clear()
        neighbours = neighbours_of(self.own, balancers)
        self._gossip.link_to((one.control for one in neighbours), now=now)
        watchers = self._assignment.watchers_of(self.own)
        self._announcer.watched_by((one.control for one in watchers), now=now)
        # The own part of the watching depends on the balancers of the own domain
        # and on the names of the domains only.
        domain_key = self._assignment.key_for(self.own)
        if domain_key != self._own_domain_key:
            self._own_domain_key = domain_key
            self._reassign_watch(now)

    def _reassign_watch(self, now: float) -> None:
        for member_id, member in self.table.members_by_id.items():
            if member.state is MemberState.GONE or member_id == self.own.member_id:
                continue
            if not self._assignment.watches(self.own, member):
                self._watch.unwatch(member_id)
                self._teller.forget(member_id)
            elif member_id not in self._watch:
                self._watch.watch(member_id, domain=domain_of(member), now=now)

    def _news(self, keys: tuple[NewsKey, ...]) -> News:
        members = self.table.members_by_id
        services = self.table.services.services_by_id
        return News(
            sender_id=self.own.member_id,
            members=tuple(
                members[news.key]
                for news in keys
                if not news.is_service and news.key in members
            ),
            services=tuple(services[news.key] for news in keys if news.is_service),
        )
