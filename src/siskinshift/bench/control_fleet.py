"""Fleets of real membership decisions for the control benchmark."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.bench.message_queue import MessageQueue
from siskinshift.bench.message_queue import QueuedProcess
from siskinshift.configuration.table import ServiceTable
from siskinshift.control.codec import encode_message
from siskinshift.control.codec import pack
from siskinshift.membership.agent import AgentMembership
from siskinshift.membership.assignment import DomainBalancers
from siskinshift.membership.assignment import WatcherAssignment
from siskinshift.membership.balancer import BalancerMembership
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.messages.membership import Heartbeat
from siskinshift.messages.membership import HeartbeatReply
from siskinshift.messages.membership import NewsReply


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.membership.actions import Message
    from siskinshift.membership.actions import Reply
    from siskinshift.settings.generated import MembershipSettings


REGIONS = ("region-1", "region-2")
DOMAINS = ("fd-1", "fd-2", "fd-3", "fd-4")
FIRST_INCARNATION = 1_790_000_000_000
SEEDS_PER_DOMAIN = 2


@frozen
class WireOverhead:
    """Bytes around the body of one message, as measured on real sockets.

    Attributes:
        request: Heads of HTTP, TCP and IP of a request and its acknowledgements.
        reply: The same of a reply.
    """

    request: int
    reply: int


def make_member(
    member_id: str,
    *,
    role: Role,
    number: int,
    region: str,
    failure_domain: str,
    upstream_class: str = "",
) -> Member:
    """Makes a member of a fleet; its endpoints follow from its number."""
    endpoint = Endpoint(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7000)
    return Member(
        member_id=member_id,
        role=role,
        incarnation=FIRST_INCARNATION,
        version=4,
        state=MemberState.READY,
        region=region,
        failure_domain=failure_domain,
        control=endpoint,
        data=attrs.evolve(endpoint, port=7001),
        upstream_class=upstream_class,
    )


def make_balancers(count: int) -> list[Member]:
    """Makes balancers dealt round over regions and failure domains."""
    return [
        make_member(
            f"balancer-{number:04}",
            role=Role.BALANCER,
            number=number,
            region=REGIONS[number % len(REGIONS)],
            failure_domain=DOMAINS[number // len(REGIONS) % len(DOMAINS)],
        )
        for number in range(count)
    ]


def make_agents(
    count: int, services: int, *, first_number: int = 10_000
) -> list[Member]:
    """Makes agents dealt round over classes, regions and failure domains."""
    return [
        make_member(
            f"agent-{number:05}",
            role=Role.AGENT,
            number=first_number + number,
            region=REGIONS[number % len(REGIONS)],
            failure_domain=DOMAINS[number // len(REGIONS) % len(DOMAINS)],
            upstream_class=f"class-{number % services:04}",
        )
        for number in range(count)
    ]


def make_service(number: int, revision: int) -> Service:
    """Makes a service with one address and three groups."""
    return Service(
        service_id=f"service-{number:04}",
        addresses=(Endpoint(f"10.200.{number >> 8}.{number & 255}", 443),),
        mode=ServiceMode.REQUEST,
        upstream_class=f"class-{number:04}",
        groups=tuple(
            Group(
                group_id=f"group-{index}", share=index + 1, credential_sha256="0" * 64
            )
            for index in range(3)
        ),
        revision=revision,
        change_id=f"change-{revision:08}",
    )


class SharedAssignments:
    """Lets balancers share what they'd all work out alike.

    Each process ranks the balancers of a failure domain for itself; here 810 of
    them stand in one process, and each ranking is done once.
    """

    def __init__(self) -> None:
        """Starts without any."""
        self._rankings_by_key: dict[object, list[Member]] = {}

    def make(self, members: Iterable[Member]) -> WatcherAssignment:
        """Makes the assignment for some balancers."""
        return _SharingAssignment(members, self._rankings_by_key)


class _SharingAssignment(WatcherAssignment):
    def __init__(
        self, members: Iterable[Member], rankings: dict[object, list[Member]]
    ) -> None:
        super().__init__(members)
        self._rankings_by_key = rankings
        self._hashes_by_name: dict[str, int] = {}

    def ranked(self, domain: DomainBalancers, own_id: str, key: bytes) -> list[Member]:
        """Ranks the balancers of one failure domain, from memory when known."""
        domain_hash = self._hashes_by_name.get(domain.name)
        if domain_hash is None:
            domain_hash = hash(tuple(domain.seeds))
            self._hashes_by_name[domain.name] = domain_hash
        place = (domain_hash, own_id)
        found = self._rankings_by_key.get(place)
        if found is None:
            found = super().ranked(domain, own_id, key)
            self._rankings_by_key[place] = found
        return found


class ControlFleet:
    """Balancers and agents that already know each other, on a message queue.

    Attributes:
        queue: The queue.
        balancers: Processes of balancers.
        agents: Processes of agents.
    """

    def __init__(
        self,
        *,
        balancers: int,
        agents: int,
        services: int,
        settings: MembershipSettings,
        overhead: WireOverhead,
        seed: int,
    ) -> None:
        """Builds a fleet and loads every table.

        Args:
            balancers: Number of balancers.
            agents: Number of agents.
            services: Number of services; each has a class of its own.
            settings: Settings of all; seeds are put in.
            overhead: Bytes around a body.
            seed: Seed of everything random.
        """
        self._random = Random(seed)
        self._overhead = overhead
        self._sizes_by_key: dict[object, int] = {}
        self._assignments = SharedAssignments()
        self._starts = 0
        self.revision = services
        self._balancer_members = make_balancers(balancers)
        seeds = self._balancer_members[: SEEDS_PER_DOMAIN * 8]
        self._settings = attrs.evolve(
            settings, seeds=tuple(one.control for one in seeds)
        )
        self.queue = MessageQueue(
            random=self._random, timeout=settings.call_timeout, size_of=self._size_of
        )
        self._agent_members = make_agents(agents, services)
        self._services = [
            make_service(number, number + 1) for number in range(services)
        ]
        self.balancers = [self.start(one, load=True) for one in self._balancer_members]
        self.agents = [self.start(one, load=True) for one in self._agent_members]

    def start(self, member: Member, *, load: bool = False) -> QueuedProcess:
        """Starts a process, anew when one of the name ran before.

        Args:
            member: Its state.
            load: Whether it begins with the whole state.

        Returns:
            The process.
        """
        self._starts += 1
        random = Random(f"{self._starts}")
        if member.role is Role.AGENT:
            agent = AgentMembership(
                own=member,
                services=ServiceTable(),
                settings=self._settings,
                random=random,
            )
            process = self._add(agent, member)
            if load:
                watchers = self._assignments.make(self._balancer_members)
                agent.watched_by(
                    tuple(one.control for one in watchers.watchers_of(member)), now=0.0
                )
            return process
        balancer = BalancerMembership(
            own=member,
            services=ServiceTable(),
            settings=self._settings,
            random=random,
            make_assignment=self._assignments.make,
        )
        if load:
            self._load(balancer)
        return self._add(balancer, member)

    def restart(self, process: QueuedProcess) -> QueuedProcess:
        """Replaces a process by a new one of the same name.

        Args:
            process: The process; it may be dead.

        Returns:
            The new process; it knows nothing.
        """
        self.queue.kill(process)
        own = process.participant.own
        fresh = self.start(
            attrs.evolve(
                own,
                incarnation=own.incarnation + 1,
                state=MemberState.READY,
                weight=1000,
            )
        )
        group = self.agents if own.role is Role.AGENT else self.balancers
        group[group.index(process)] = fresh
        return fresh

    def change_service(self, writer: QueuedProcess, number: int) -> int:
        """Merges a new record as a reader of the configuration does.

        Args:
            writer: The balancer that read it.
            number: Number of the service.

        Returns:
            Revision of the record.
        """
        self.revision += 1
        service = make_service(number, self.revision)
        writer.participant.table.services.merge(service)
        writer.participant.services_changed(now=self.queue.now)
        self.queue.wake(writer)
        return self.revision

    def run(self, seconds: float) -> None:
        """Lets time pass.

        Args:
            seconds: How long.
        """
        self.queue.run_until(self.queue.now + seconds)

    def clear_counts(self) -> None:
        """Starts to count messages and bytes anew."""
        for process in (*self.balancers, *self.agents):
            process.wire_bytes = 0
            process.sent.clear()
            process.received.clear()

    def _add(
        self, participant: AgentMembership | BalancerMembership, member: Member
    ) -> QueuedProcess:
        process = QueuedProcess(
            participant=participant,
            region=member.region,
            failure_domain=member.failure_domain,
        )
        self.queue.add(process)
        return process

    def _load(self, balancer: BalancerMembership) -> None:
        for member in (*self._balancer_members, *self._agent_members):
            balancer.table.merge(member, now=0.0)
        balancer.table.services.merge_all(self._services)
        balancer.table.take_services()

    def _size_of(self, message: Message | Reply) -> int:
        match message:
            case Heartbeat():
                key: object = (
                    Heartbeat,
                    message.member is None,
                    message.view_hash > "",
                )
            case HeartbeatReply() if not (
                message.members or message.services or message.watchers
            ):
                key = (HeartbeatReply, message.wanted, message.known is None)
            case NewsReply():
                key = NewsReply
            case _:
                key = None
        if key is None:
            return self._encoded_size(message)
        size = self._sizes_by_key.get(key)
        if size is None:
            size = self._sizes_by_key[key] = self._encoded_size(message)
        return size

    def _encoded_size(self, message: Message | Reply) -> int:
        is_reply = type(message).__name__.endswith("Reply")
        head = self._overhead.reply if is_reply else self._overhead.request
        return len(pack(encode_message(message))[0]) + head
