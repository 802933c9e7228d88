"""Implements the strategies that serve a scenario: load gates and baselines."""

from __future__ import annotations

from collections import deque
from functools import partial
from random import Random
from typing import TYPE_CHECKING
from typing import Protocol

import attrs

from siskinshift.bench.load_model import SimulatedUpstream
from siskinshift.bench.load_scenarios import SHARES_BY_GROUP_ID
from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import FailRequest
from siskinshift.core.requests import RefuseRequest
from siskinshift.core.requests import ReleaseAtPeer
from siskinshift.core.requests import ReplyToReservation
from siskinshift.core.requests import Request
from siskinshift.core.requests import ReserveAtPeer
from siskinshift.core.requests import RunAtPeer
from siskinshift.core.requests import RunResult
from siskinshift.core.requests import StartRequest
from siskinshift.core.views import make_view
from siskinshift.load.gate import LoadGate
from siskinshift.load.usage import USAGE_RECIPIENT_COUNT
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import OutcomeKind
from siskinshift.messages.core import Role
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.messages.load import ReserveSlot
from siskinshift.messages.load import UsageSums


if TYPE_CHECKING:
    from siskinshift.bench.load_model import EventLoop
    from siskinshift.bench.load_model import SimulatedRequest
    from siskinshift.bench.load_scenarios import Scenario
    from siskinshift.bench.load_scenarios import ServiceSize
    from siskinshift.core.requests import GateAction
    from siskinshift.core.views import View
    from siskinshift.settings.generated import LoadSettings


ONE_WAY_SECONDS = 0.0005
TICK_SECONDS = 0.05
UNUSED_ENDPOINT = Endpoint("127.0.0.1", 1)


class Agents(Protocol):
    """The agents of one service."""

    def submit(self, request: SimulatedRequest) -> None:
        """Submits a request at the owner of its flow."""


class FirstInFirstOutAgents:
    """Baseline with a FIFO queue for each agent, without shares and deadlines."""

    def __init__(
        self,
        loop: EventLoop,
        size: ServiceSize,
        scenario: Scenario,
        *,
        queue_limit: int | None,
        round_robin: bool,
    ) -> None:
        """Initializes idle agents.

        Args:
            loop: Event loop of the simulation.
            size: The service.
            scenario: Source of the slowdowns.
            queue_limit: Maximum length of the queue of an agent; None for no limit.
            round_robin: Whether requests are distributed round robin instead of to
                the owners of their flows.
        """
        self._loop = loop
        self._size = size
        self._queue_limit = queue_limit
        self._round_robin = round_robin
        self._next_agent = 0
        slowdowns = list(scenario.slowdowns)
        self._upstreams = [
            SimulatedUpstream(loop, agent=index, slowdowns=slowdowns)
            for index in range(size.agents)
        ]
        self._running = [0] * size.agents
        self._queues: list[deque[SimulatedRequest]] = [deque() for _ in self._upstreams]

    def submit(self, request: SimulatedRequest) -> None:
        """Submits a request."""
        agent = request.owner
        if self._round_robin:
            agent = self._next_agent
            self._next_agent = (self._next_agent + 1) % self._size.agents
        if (
            self._queue_limit is not None
            and len(self._queues[agent]) >= self._queue_limit
        ):
            error = ErrorKind.OVERLOADED
            request.end(OutcomeKind.NOT_RUN, now=self._loop.now, error=error)
            return
        self._queues[agent].append(request)
        self._start(agent)

    def _start(self, agent: int) -> None:
        while self._queues[agent] and self._running[agent] < self._size.slots:
            request = self._queues[agent].popleft()
            self._running[agent] += 1
            done = partial(self._on_finished, agent, request)
            self._upstreams[agent].run(request, done, stop_at_deadline=False)

    def _on_finished(
        self, agent: int, request: SimulatedRequest, _answered: bool
    ) -> None:
        self._running[agent] -= 1
        request.end(OutcomeKind.ANSWERED, now=self._loop.now)
        self._start(agent)


class GatedAgents:
    """The production load gates, with delayed messages between them.

    Attributes:
        gates: The gate of each agent.
        messages: Number of messages between agents.
    """

    def __init__(
        self,
        loop: EventLoop,
        size: ServiceSize,
        scenario: Scenario,
        *,
        settings: LoadSettings,
        seed: int,
    ) -> None:
        """Starts all gates.

        Args:
            loop: Event loop of the simulation.
            size: The service.
            scenario: Faults to simulate.
            settings: Load settings; the service overrides the queue time limit.
            seed: Seed of the random generators of the gates.
        """
        self._loop = loop
        self._size = size
        self._scenario = scenario
        self._settings = attrs.evolve(settings, queue_time_limit=size.queue_time_limit)
        self._random = Random(seed)
        self._member_ids = [f"agent-{index}" for index in range(size.agents)]
        self._index_by_member_id = {name: i for i, name in enumerate(self._member_ids)}
        self._view = _make_view(self._member_ids, size)
        slowdowns = list(scenario.slowdowns)
        self._upstreams = [
            SimulatedUpstream(loop, agent=index, slowdowns=slowdowns)
            for index in range(size.agents)
        ]
        self._requests_by_id: dict[int, SimulatedRequest] = {}
        self._requesters_by_reservation_id: dict[str, tuple[int, int]] = {}
        self.messages = 0
        self.gates = [self._make_gate(i, ramp_duration=0.0) for i in range(size.agents)]
        loop.after(TICK_SECONDS, self._tick)
        if scenario.restart_at is not None:
            loop.at(scenario.restart_at, self._restart)

    def submit(self, request: SimulatedRequest) -> None:
        """Submits a request."""
        self._requests_by_id[request.request_id] = request
        actions = self.gates[request.owner].submit(
            Request(
                request_id=request.request_id,
                service_id=self._size.name,
                group_id=request.group_id,
                caller=request.caller,
                key="",
                repeatable=False,
                arrived_at=request.arrived_at,
                deadline=request.deadline,
            ),
            now=self._loop.now,
        )
        self._apply_actions(request.owner, actions)

    def _make_gate(self, index: int, *, ramp_duration: float) -> LoadGate:
        gate = LoadGate(
            member_id=self._member_ids[index],
            incarnation=1,
            slots=self._size.slots,
            ramp_duration=ramp_duration,
            settings=self._settings,
            random=Random(f"{self._random.random()}/{index}"),
            now=self._loop.now,
        )
        gate.update(self._view, upstream_class=self._size.name)
        return gate

    def _restart(self) -> None:
        # As in a planned restart, pending requests finish before the agent restarts.
        former = self.gates[0]
        if former.pending_count:
            self._apply_actions(0, former.drain(now=self._loop.now))
            self._loop.after(TICK_SECONDS, self._restart)
            return
        self.gates[0] = self._make_gate(0, ramp_duration=10.0)

    def _tick(self) -> None:
        for index, gate in enumerate(self.gates):
            self._apply_actions(index, gate.tick(now=self._loop.now))
            message = gate.usage_message(now=self._loop.now)
            if message is not None:
                self._send_usage(index, message)
        self._loop.after(TICK_SECONDS, self._tick)

    def _send_usage(self, index: int, message: UsageSums) -> None:
        if index == self._scenario.misreporting_agent:
            message = _report_idle(message)
        peers = [i for i in range(self._size.agents) if i != index]
        for peer in self._random.sample(peers, min(USAGE_RECIPIENT_COUNT, len(peers))):
            self._send(partial(self._on_usage, peer, message))

    def _on_usage(self, index: int, message: UsageSums) -> None:
        self.gates[index].usage_table.merge(message, now=self._loop.now)

    def _send(self, callback: partial[None]) -> None:
        self.messages += 1
        self._loop.after(ONE_WAY_SECONDS, callback)

    def _apply_actions(self, index: int, actions: list[GateAction]) -> None:
        for action in actions:
            if isinstance(action, StartRequest):
                self._start(index, action.request_id)
            elif isinstance(action, RefuseRequest):
                self._refuse(action)
            elif isinstance(action, FailRequest):
                request = self._requests_by_id[action.request_id]
                now = self._loop.now
                request.end(OutcomeKind.UNKNOWN, now=now, error=action.error)
            else:
                self._send_message(index, action)

    def _send_message(self, index: int, action: GateAction) -> None:
        if isinstance(action, ReserveAtPeer):
            self._send(partial(self._on_reserve, index, action))
        elif isinstance(action, ReleaseAtPeer):
            peer = self._index_by_member_id[action.peer_id]
            self._send(partial(self._on_release, peer, action.reservation_id))
        elif isinstance(action, ReplyToReservation):
            requester, request_id = self._requesters_by_reservation_id[
                action.reservation_id
            ]
            self._send(
                partial(
                    self._on_reservation_reply, requester, request_id, index, action
                )
            )
        elif isinstance(action, RunAtPeer):
            self._send(partial(self._on_run, index, action))

    def _refuse(self, action: RefuseRequest) -> None:
        self._requests_by_id[action.request_id].end(
            OutcomeKind.NOT_RUN,
            now=self._loop.now,
            error=action.error,
            retry_after=action.retry_after,
        )

    def _start(self, index: int, request_id: int) -> None:
        request = self._requests_by_id[request_id]
        done = partial(self._on_finished, index, request)
        self._upstreams[index].run(request, done, stop_at_deadline=True)

    def _on_finished(
        self, index: int, request: SimulatedRequest, answered: bool
    ) -> None:
        if answered:
            request.end(OutcomeKind.ANSWERED, now=self._loop.now)
        actions = self.gates[index].finished(
            request.request_id,
            succeeded=answered,
            now=self._loop.now,
            result=RunResult.ANSWERED if answered else RunResult.LOST,
        )
        self._apply_actions(index, actions)

    def _on_reserve(self, requester: int, action: ReserveAtPeer) -> None:
        request = self._requests_by_id[action.request_id]
        peer = self._index_by_member_id[action.peer_id]
        self._requesters_by_reservation_id[action.reservation_id] = (
            requester,
            action.request_id,
        )
        message = ReserveSlot(
            reservation_id=action.reservation_id,
            sender_id=self._member_ids[requester],
            service_id=self._size.name,
            group_id=request.group_id,
            caller=request.caller,
            wait=action.wait,
            deadline_in=request.deadline - self._loop.now,
        )
        self._apply_actions(peer, self.gates[peer].reserve(message, now=self._loop.now))

    def _on_release(self, peer: int, reservation_id: str) -> None:
        actions = self.gates[peer].release(reservation_id, now=self._loop.now)
        self._apply_actions(peer, actions)

    def _on_reservation_reply(
        self, requester: int, request_id: int, peer: int, reply: ReplyToReservation
    ) -> None:
        actions = self.gates[requester].handle_reservation_reply(
            request_id,
            peer_id=self._member_ids[peer],
            reservation_id=reply.reservation_id,
            granted=reply.granted,
            now=self._loop.now,
        )
        self._apply_actions(requester, actions)

    def _on_run(self, requester: int, action: RunAtPeer) -> None:
        peer = self._index_by_member_id[action.peer_id]
        request = self._requests_by_id[action.request_id]
        gate = self.gates[peer]
        if not gate.start_reserved(action.reservation_id, now=self._loop.now):
            self._send(partial(self._on_not_run, requester, action.request_id))
            return
        done = partial(
            self._on_peer_request_finished,
            requester,
            peer,
            request,
            action.reservation_id,
        )
        self._upstreams[peer].run(request, done, stop_at_deadline=True)

    def _on_peer_request_finished(
        self,
        requester: int,
        peer: int,
        request: SimulatedRequest,
        reservation_id: str,
        answered: bool,
    ) -> None:
        result = RunResult.ANSWERED if answered else RunResult.LOST
        actions = self.gates[peer].peer_request_finished(
            reservation_id, result, now=self._loop.now
        )
        self._apply_actions(peer, actions)
        self._send(partial(self._on_finished, requester, request, answered))

    def _on_not_run(self, requester: int, request_id: int) -> None:
        actions = self.gates[requester].finished(
            request_id,
            succeeded=False,
            now=self._loop.now,
            result=RunResult.NOT_OFFERED,
        )
        self._apply_actions(requester, actions)


def _report_idle(message: UsageSums) -> UsageSums:
    own, *others = message.sums
    idle_usage = attrs.evolve(own, busy_part=0.0, groups=(), slot_time=0.001)
    return attrs.evolve(message, sums=(idle_usage, *others))


def _make_view(names: list[str], size: ServiceSize) -> View:
    groups = tuple(Group(name, share) for name, share in SHARES_BY_GROUP_ID.items())
    service = Service(
        service_id=size.name,
        addresses=(),
        mode=ServiceMode.REQUEST,
        upstream_class=size.name,
        groups=groups,
    )
    members = [
        Member(
            member_id=name,
            role=Role.AGENT,
            incarnation=1,
            version=1,
            state=MemberState.READY,
            region="r",
            failure_domain="fd",
            control=UNUSED_ENDPOINT,
            data=UNUSED_ENDPOINT,
            upstream_class=size.name,
            slots=size.slots,
        )
        for name in names
    ]
    return make_view(version=1, services=[service], members=members)
