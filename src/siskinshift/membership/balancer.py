"""Runs the balancer's part of the membership protocol.

A balancer stores the state of all members. It watches some of them for failures,
forwards updates to linked balancers and periodically compares its state with that of
another balancer.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import TYPE_CHECKING
from typing import TypeAlias

from siskinshift.membership.actions import Call
from siskinshift.membership.announcer import Announcer
from siskinshift.membership.announcer import hash_watchers
from siskinshift.membership.assignment import WatcherAssignment
from siskinshift.membership.class_updates import NO_UPDATE
from siskinshift.membership.class_updates import ClassUpdater
from siskinshift.membership.comparison import Comparison
from siskinshift.membership.comparison import reply_to_compare
from siskinshift.membership.comparison import reply_to_digest
from siskinshift.membership.failure_detector import MIN_PARTITION_MEMBERS
from siskinshift.membership.failure_detector import FailureDetector
from siskinshift.membership.gossip import Gossip
from siskinshift.membership.gossip import RecordKey
from siskinshift.membership.links import neighbours_of
from siskinshift.membership.ordering import expelled
from siskinshift.membership.ordering import suspected
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

CHECK_INTERVAL_SECONDS = 0.1
# Many balancers that join or leave at once cause one reassignment, not one each.
REASSIGN_INTERVAL_SECONDS = 1.0


class BalancerMembership:
    """Maintains the state of all members and watches a part of them.

    Attributes:
        table: All known members and services.
        expelled_count: Unresponsive members that this balancer has expelled.
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
        """Initializes the membership with the balancer itself as the only member.

        Args:
            own: State of the balancer.
            services: Configuration of the process.
            settings: Intervals and seeds.
            random: Source of jitter and partners.
            make_assignment: Assigns watchers; benchmarks share one between nodes.
        """
        self._settings = settings
        self._announcer = Announcer(own=own, settings=settings, random=random)
        self.table = MemberTable(services)
        self.expelled_count = 0
        self._failure_detector = FailureDetector(settings)
        self._class_updater = ClassUpdater(self.table)
        self._gossip = Gossip(random)
        self._comparison = Comparison(
            own=own, table=self.table, settings=settings, random=random
        )
        self._make_assignment = make_assignment
        self._assignment = make_assignment(())
        self._assigned_generation = -1
        self._own_assignment_key: object = None
        self._next_assignment_at = 0.0
        self._next_check_at = 0.0
        self._watchers_by_id: dict[str, tuple[Member, ...]] = {}
        self.table.merge(self.own, now=0.0)

    @property
    def own(self) -> Member:
        """State that the balancer announces of itself."""
        return self._announcer.own

    @property
    def watchers(self) -> tuple[Endpoint, ...]:
        """Control endpoints of the balancer's watchers."""
        return self._announcer.watchers

    @property
    def watched_ids(self) -> frozenset[str]:
        """Ids of the members that this balancer watches."""
        return self._failure_detector.watched_ids

    @property
    def neighbours(self) -> tuple[Endpoint, ...]:
        """Balancers that updates are sent to."""
        return self._gossip.neighbours

    @property
    def has_completed_comparison(self) -> bool:
        """Whether a full comparison has ever completed; always true without seeds."""
        return self._comparison.has_completed

    def due(self, now: float) -> list[Call]:
        """Checks the watched members and returns the messages to send now.

        Args:
            now: Clock reading, seconds.

        Returns:
            The calls.
        """
        self._reassign(now)
        calls = self._check_members(now)
        calls += self._announcer.due(now, "")
        calls += [
            Call(batch.endpoint, self._update_message(batch.keys))
            for batch in self._gossip.due(now)
        ]
        return calls + self._comparison.due(now)

    def next_due(self) -> float:
        """Returns when `due` should be called next.

        Returns:
            Clock reading, seconds.
        """
        times = [
            self._announcer.next_due(),
            self._gossip.next_due(),
            self._comparison.next_due(),
            self._next_check_at,
        ]
        if self._assigned_generation != self.table.balancer_generation:
            times.append(self._next_assignment_at)
        return min(times)

    def handle(self, message: Message, *, now: float) -> Reply:
        """Handles a message from another process.

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
                return self._on_update(message, now)
            case Digest():
                return reply_to_digest(self.table, message)
            case Compare():
                return reply_to_compare(self.table, message)
            case HeardQuery():
                age = self._failure_detector.age(message.member_id, now=now)
                return HeardReply() if age is None else HeardReply(age=age)
            case Ping():
                return self._own_heartbeat()

    def on_reply(self, call: Call, reply: Reply, *, now: float) -> list[Call]:
        """Handles the reply to a call.

        Args:
            call: The call.
            reply: The reply.
            now: Clock reading, seconds.

        Returns:
            Further calls to send at once.
        """
        endpoint = call.endpoint
        match call.message, reply:
            case Heartbeat() as heartbeat, HeartbeatReply():
                if reply.known is not None and self._announcer.refute(
                    reply.known, now=now
                ):
                    self._merge(self.own, None, now)
                self._announcer.on_reply(
                    endpoint, heartbeat, is_state_requested=reply.wanted, now=now
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
                    self._handle_ping_reply(reply, now)
            case HeardQuery(), HeardReply():
                if reply.age >= 0:
                    self._failure_detector.mark_seen(
                        call.message.member_id, at=now - reply.age
                    )
        return []

    def on_failure(self, call: Call, *, now: float) -> None:
        """Handles a call that got no reply.

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
        """Changes the state that the balancer announces of itself.

        Args:
            state: New state.
            weight: New weight, 0 to 1000.
            now: Clock reading, seconds.
            entry_slot: New revision of the entry slot held; None leaves it unchanged.
        """
        self._announcer.change(
            state=state, weight=weight, now=now, entry_slot=entry_slot
        )
        self._merge(self.own, None, now)

    def publish_merged_services(self, *, now: float) -> None:
        """Sends records that other modules merged into the services to neighbours.

        Args:
            now: Clock reading, seconds.
        """
        for service in self.table.index_merged_services():
            record_key = RecordKey(True, service.service_id)
            self._gossip.add(record_key, received_from=None, now=now)

    def _check_members(self, now: float) -> list[Call]:
        if now < self._next_check_at:
            return []
        self._next_check_at = now + CHECK_INTERVAL_SECONDS
        suspect_domains = self.table.mostly_suspect_domains(
            minimum=MIN_PARTITION_MEMBERS
        )
        verdicts = self._failure_detector.check(now, suspect_domains=suspect_domains)
        calls = [
            call
            for member_id in verdicts.probe
            for call in self._probe_calls(member_id)
        ]
        members = self.table.members_by_id
        for member_id in verdicts.suspect:
            self._merge(suspected(members[member_id]), None, now)
        for member_id in verdicts.expel:
            self.expelled_count += 1
            self._merge(expelled(members[member_id]), None, now)
        for member_id in self.table.expire_gone(
            older_than=now - self._settings.forget_after
        ):
            self._watchers_by_id.pop(member_id, None)
        return calls

    def _probe_calls(self, member_id: str) -> list[Call]:
        member = self.table.members_by_id[member_id]
        queries = [
            Call(watcher.control, HeardQuery(member_id))
            for watcher in self._watchers_of(member)
            if watcher.member_id != self.own.member_id
        ]
        return [Call(member.control, Ping(member_id)), *queries]

    def _on_heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatReply:
        member_id = heartbeat.member_id
        if heartbeat.member is not None and member_id == heartbeat.member.member_id:
            self._merge(heartbeat.member, None, now)
        known = self.table.members_by_id.get(member_id)
        received_version = (heartbeat.incarnation, heartbeat.version)
        if known is None or received_version > (known.incarnation, known.version):
            return HeartbeatReply(wanted=True)
        self._failure_detector.mark_seen(member_id, at=now)
        is_outdated = received_version < (known.incarnation, known.version)
        watchers = self._watchers_if_changed(known, heartbeat)
        update = NO_UPDATE
        if known.role is Role.AGENT:
            update = self._class_updater.update_for(
                member_id, known.upstream_class, heartbeat.view_hash
            )
        return HeartbeatReply(
            known=stamp_of(known) if is_outdated else None,
            watchers=watchers,
            members=update.members,
            services=update.services,
            complete=update.complete,
        )

    def _watchers_if_changed(
        self, member: Member, heartbeat: Heartbeat
    ) -> tuple[Endpoint, ...]:
        if member.role is Role.BALANCER:
            return ()  # Balancers have all members and derive their own watchers.
        watchers = tuple(watcher.control for watcher in self._watchers_of(member))
        if hash_watchers(watchers) == heartbeat.watchers_hash:
            return ()
        return watchers

    def _on_update(self, update: News, now: float) -> NewsReply:
        sender = self.table.members_by_id.get(update.sender_id)
        endpoint = sender.control if sender is not None else None
        accepted = self._merge_all(update.members, update.services, endpoint, now)
        return NewsReply(accepted=accepted)

    def _own_heartbeat(self) -> Heartbeat:
        own = self.own
        return Heartbeat(
            member_id=own.member_id,
            incarnation=own.incarnation,
            version=own.version,
            member=own,
        )

    def _handle_ping_reply(self, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.member is not None:
            self._merge(heartbeat.member, None, now)
        self._failure_detector.mark_seen(heartbeat.member_id, at=now)

    def _merge_all(
        self,
        members: tuple[Member, ...],
        services: tuple[Service, ...],
        received_from: Endpoint | None,
        now: float,
    ) -> int:
        accepted = sum(self._merge(member, received_from, now) for member in members)
        for service in services:
            record_key = RecordKey(True, service.service_id)
            if self.table.merge_service(service):
                accepted += 1
                self._gossip.add(record_key, received_from=received_from, now=now)
            elif received_from is not None:
                self._mark_service_known(service, received_from)
        return accepted

    def _mark_service_known(self, service: Service, received_from: Endpoint) -> None:
        current = self.table.services.services_by_id.get(service.service_id)
        if current is not None and current.revision == service.revision:
            self._gossip.mark_known(RecordKey(True, service.service_id), received_from)

    def _merge(
        self, member: Member, received_from: Endpoint | None, now: float
    ) -> bool:
        if member.member_id == self.own.member_id and self._announcer.refute(
            stamp_of(member), now=now
        ):
            member = self.own
            received_from = None
        record_key = RecordKey(False, member.member_id)
        if self.table.merge(member, now=now):
            self._gossip.add(record_key, received_from=received_from, now=now)
            self._update_watch(member, now)
            return True
        current = self.table.members_by_id.get(member.member_id)
        if received_from is not None and current == member:
            self._gossip.mark_known(record_key, received_from)
        return False

    def _update_watch(self, member: Member, now: float) -> None:
        """Starts or stops watching a member whose state has changed."""
        member_id = member.member_id
        if member.state is MemberState.GONE:
            self._failure_detector.unwatch(member_id)
            self._class_updater.remove_agent(member_id)
            self._watchers_by_id.pop(member_id, None)
            return
        if member_id in self._failure_detector or member_id == self.own.member_id:
            return
        if self._assignment.is_watcher(self.own, member):
            self._failure_detector.watch(member_id, domain=domain_of(member), now=now)

    def _watchers_of(self, member: Member) -> tuple[Member, ...]:
        watchers = self._watchers_by_id.get(member.member_id)
        if watchers is None:
            watchers = self._assignment.watchers_of(member)
            self._watchers_by_id[member.member_id] = watchers
        return watchers

    def _reassign(self, now: float) -> None:
        generation = self.table.balancer_generation
        if generation == self._assigned_generation or now < self._next_assignment_at:
            return
        self._assigned_generation = generation
        self._next_assignment_at = now + REASSIGN_INTERVAL_SECONDS
        members = self.table.members_by_id
        balancers = [
            member for member in members.values() if member.role is Role.BALANCER
        ]
        self._assignment = self._make_assignment(balancers)
        self._watchers_by_id.clear()
        neighbours = neighbours_of(self.own, balancers)
        self._gossip.set_neighbours(
            (neighbour.control for neighbour in neighbours), now=now
        )
        watchers = self._assignment.watchers_of(self.own)
        self._announcer.set_watchers((watcher.control for watcher in watchers), now=now)
        # Which members this balancer watches depends only on the balancers of its
        # own domain and on the names of all domains.
        assignment_key = self._assignment.assignment_key(self.own)
        if assignment_key != self._own_assignment_key:
            self._own_assignment_key = assignment_key
            self._reassign_watch(now)

    def _reassign_watch(self, now: float) -> None:
        for member_id, member in self.table.members_by_id.items():
            if member.state is MemberState.GONE or member_id == self.own.member_id:
                continue
            if not self._assignment.is_watcher(self.own, member):
                self._failure_detector.unwatch(member_id)
                self._class_updater.remove_agent(member_id)
            elif member_id not in self._failure_detector:
                self._failure_detector.watch(
                    member_id, domain=domain_of(member), now=now
                )

    def _update_message(self, keys: tuple[RecordKey, ...]) -> News:
        members = self.table.members_by_id
        services = self.table.services.services_by_id
        return News(
            sender_id=self.own.member_id,
            members=tuple(
                members[record_key.key]
                for record_key in keys
                if not record_key.is_service and record_key.key in members
            ),
            services=tuple(
                services[record_key.key] for record_key in keys if record_key.is_service
            ),
        )
