"""Simulates a small fleet on a message queue."""

from __future__ import annotations

from random import Random

import attrs

from siskinshift.bench.message_queue import MessageQueue
from siskinshift.bench.message_queue import SimulatedProcess
from siskinshift.configuration.table import ServiceTable
from siskinshift.membership.agent import AgentMembership
from siskinshift.membership.balancer import BalancerMembership
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.settings.loader import SettingsLoader


REGIONS = ("north", "south")
SETTINGS = (
    SettingsLoader(source="test")
    .load(
        "[node]\nnode_id=n\ncontrol_endpoint=127.0.0.1:1\ndata_endpoint=127.0.0.1:1\n"
        "[keys]\ncurrent=a-key-of-sixteen-or-more\n"
    )
    .membership
)


def make_member(
    member_id: str,
    *,
    role: Role = Role.AGENT,
    number: int = 1,
    region: str = "north",
    failure_domain: str = "fd-1",
    upstream_class: str = "editor",
    incarnation: int = 1,
    version: int = 4,
    state: MemberState = MemberState.READY,
) -> Member:
    endpoint = Endpoint(f"10.0.{number // 250}.{number % 250}", 7000)
    return Member(
        member_id=member_id,
        role=role,
        incarnation=incarnation,
        version=version,
        state=state,
        region=region,
        failure_domain=failure_domain,
        control=endpoint,
        data=endpoint,
        upstream_class=upstream_class if role is Role.AGENT else "",
    )


def make_service(service_id: str, revision: int) -> Service:
    return Service(
        service_id=service_id,
        addresses=(Endpoint("10.9.0.1", 443),),
        mode=ServiceMode.DATAGRAM,
        upstream_class=service_id,
        revision=revision,
    )


class Fleet:
    """Balancers in two regions of two failure domains, and agents of two classes."""

    def __init__(
        self, *, balancers_per_domain: int = 2, agents: int = 6, seed: int = 1
    ) -> None:
        self.random = Random(seed)
        self.queue = MessageQueue(random=self.random, timeout=SETTINGS.call_timeout)
        self.processes_by_id: dict[str, SimulatedProcess] = {}
        self.starts = 0
        self.revision = 0
        number = 0
        for region in REGIONS:
            for domain in ("fd-1", "fd-2"):
                for index in range(balancers_per_domain):
                    number += 1
                    self._add(f"b-{region}-{domain}-{index}", Role.BALANCER, number)
        for index in range(agents):
            number += 1
            self._add(f"a-{index}", Role.AGENT, number)

    def _add(self, member_id: str, role: Role, number: int) -> None:
        region = REGIONS[number % 2]
        domain = "fd-1" if number % 4 < 2 else "fd-2"
        if role is Role.BALANCER:
            _, region, rest = member_id.split("-", 2)
            domain = rest.rsplit("-", 1)[0]
        upstream_class = "editor" if number % 3 else "dossiers"
        self._start(
            make_member(
                member_id,
                role=role,
                number=number,
                region=region,
                failure_domain=domain,
                upstream_class=upstream_class,
            )
        )

    def _start(self, member: Member) -> None:
        self.starts += 1
        member = attrs.evolve(member, incarnation=1000 + self.starts, version=1)
        seeds = tuple(Endpoint(f"10.0.0.{number}", 7000) for number in (1, 3, 5, 7))
        participant_class = (
            BalancerMembership if member.role is Role.BALANCER else AgentMembership
        )
        participant = participant_class(
            own=member,
            services=ServiceTable(),
            settings=attrs.evolve(SETTINGS, seeds=seeds),
            random=Random(self.starts),
        )
        process = SimulatedProcess(
            participant=participant,
            region=member.region,
            failure_domain=member.failure_domain,
        )
        self.processes_by_id[member.member_id] = process
        self.queue.add(process)

    @property
    def live(self) -> list[SimulatedProcess]:
        return [process for process in self.processes_by_id.values() if process.is_up]

    @property
    def live_balancers(self) -> list[SimulatedProcess]:
        return [
            process
            for process in self.live
            if isinstance(process.participant, BalancerMembership)
        ]

    def run(self, seconds: float) -> None:
        self.queue.run_until(self.queue.now + seconds)

    def kill(self, member_id: str) -> None:
        self.queue.kill(self.processes_by_id[member_id])

    def restart(self, member_id: str) -> None:
        self.kill(member_id)
        self._start(self.processes_by_id[member_id].participant.own)

    def change(self, member_id: str, state: MemberState, weight: int) -> None:
        process = self.processes_by_id[member_id]
        process.participant.change_own(state=state, weight=weight, now=self.queue.now)
        self.queue.wake(process)

    def write_service(self, writer: SimulatedProcess, service_id: str) -> None:
        self.revision += 1
        participant = writer.participant
        participant.table.services.merge(make_service(service_id, self.revision))
        participant.publish_merged_services(now=self.queue.now)
        self.queue.wake(writer)

    def state_seen(
        self, viewer: SimulatedProcess, member_id: str
    ) -> MemberState | None:
        known = viewer.participant.table.members_by_id.get(member_id)
        return known.state if known else None

    def disagreements(self) -> list[str]:
        """Describes each record of a live process that differs from the true state."""
        live_members_by_id = {
            process.participant.own.member_id: process.participant.own
            for process in self.live
        }
        differences = []
        for viewer in self.live:
            viewer_id = viewer.participant.own.member_id
            own_class = viewer.participant.own.upstream_class
            table = viewer.participant.table
            for member_id in self.processes_by_id:
                expected = live_members_by_id.get(member_id)
                held = table.members_by_id.get(member_id)
                if expected is None:
                    if held is not None and held.state is not MemberState.GONE:
                        differences.append(
                            f"{viewer_id}: dead {member_id} is {held.state}"
                        )
                elif own_class and expected.upstream_class != own_class:
                    continue
                elif held != expected:
                    differences.append(f"{viewer_id}: live {member_id} is {held}")
        return differences + self._service_disagreements()

    def _service_disagreements(self) -> list[str]:
        newest: dict[str, int] = {}
        for viewer in self.live_balancers:
            for (
                key,
                service,
            ) in viewer.participant.table.services.services_by_id.items():
                newest[key] = max(newest.get(key, 0), service.revision)
        differences = []
        for viewer in self.live:
            own = viewer.participant.own
            held = viewer.participant.table.services.services_by_id
            for key, revision in newest.items():
                if own.upstream_class and own.upstream_class != key:
                    continue
                if key not in held or held[key].revision != revision:
                    differences.append(
                        f"{own.member_id}: service {key} not at {revision}"
                    )
        return differences
