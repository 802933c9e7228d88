"""Stateful test of flow ownership during restarts, crashes and evacuations.

The flow logic of balancers and agents runs with simulated upstreams on a network
without delay that may lose single messages, so callers retransmit. The oracle holds,
for each flow, the incarnation whose response its caller accepted, and which node holds
which evacuations. An upstream gets no opening packet if the agent beside it, or the
balancer that sent it, holds an evacuation of its domain, or once it has reported that
it leaves.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import attrs
from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.agent_flows import AgentFlows
from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.fleet import Fleet
from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import OwnerQuery
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import MAX_OPENING_SECONDS
from siskinshift.connections.segment import SEQUENCE_SPACE
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import is_between
from siskinshift.connections.upstream_state import UpstreamState
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Role
from siskinshift.standins.connection_ends import RESET_WINDOW_BYTES
from tests.connections.builders import HEARTBEAT_SECONDS
from tests.connections.builders import balancer_flows
from tests.connections.builders import flow_of
from tests.connections.builders import heartbeat
from tests.connections.builders import member
from tests.connections.builders import quiet_log


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.actions import Action
    from siskinshift.connections.balancer_flows import BalancerFlows


AGENTS = ("10.0.1.1", "10.0.1.2", "10.0.1.3")
# Balancers send queries to agents of another failure domain.
DOMAINS_BY_AGENT_HOST = {host: "ab"[index % 2] for index, host in enumerate(AGENTS)}
BALANCERS = ("10.0.0.1", "10.0.0.2")
PORT = 7000
WALK_STEPS = 40
DOMAINS = ("a", "b")
# Nodes that receive a change of the evacuations at once.
INFORMED = strategies.sampled_from((BALANCERS, AGENTS, BALANCERS + AGENTS))
# Numbers of the next messages between nodes that are lost.
LOST_MESSAGES = strategies.sets(strategies.integers(0, 4), max_size=2)


@attrs.define(eq=False)
class _Upstream:
    """The actual flows of one incarnation."""

    upstream_id: str
    started_ms: int
    random: Random
    sequence_by_flow: dict[bytes, int] = attrs.Factory(dict)
    foreign: Counter[bytes] = attrs.Factory(Counter)
    opened: set[tuple[bytes, int]] = attrs.Factory(set)
    is_full: bool = False
    is_leaving: bool = False


@attrs.define(eq=False)
class _Caller:
    """A caller's view of its flow."""

    flow: bytes
    initial_sequence: int
    owner: str = ""
    acknowledged: int = 0
    was_reset: bool = False
    requests: int = 0


class OwnershipWalk(RuleBasedStateMachine):
    """One deployment."""

    def __init__(self) -> None:
        super().__init__()
        self.random = Random(7)
        self.now = 0.0
        self.upstreams_by_host: dict[str, _Upstream] = {}
        self.upstream_states_by_host: dict[str, UpstreamState] = {}
        self.agents_by_host: dict[str, AgentFlows] = {}
        self.balancers_by_host: dict[str, BalancerFlows] = {}
        self.fleets_by_host: dict[str, Fleet] = {}
        self.callers: list[_Caller] = []
        self.packets_by_datagram: dict[bytes, Segment] = {}
        self.incarnations = 0
        self.lost: set[int] = set()
        self.message_number = 0
        self.responding_upstreams_by_flow: dict[bytes, str] = {}
        self.evacuations = Evacuations()
        self.registers_by_host: dict[str, EvacuationRegister] = {}
        self.sender = ""
        self.lost_answers = 0
        self.returns_half_open = True

    @initialize(returns_half_open=strategies.booleans())
    def begin(self, returns_half_open: bool) -> None:
        """Starts all nodes.

        Args:
            returns_half_open: Whether upstreams return packets of a flow whose caller
                acknowledged another upstream's response; otherwise they send nothing.
        """
        self.returns_half_open = returns_half_open
        for host in AGENTS:
            self._start_upstream(host)
            self._start_agent(host)
        for host in BALANCERS:
            self._start_balancer(host)

    @rule(
        balancers=strategies.tuples(*[strategies.sampled_from(BALANCERS)] * 3),
        lost=LOST_MESSAGES,
        lost_answers=strategies.integers(0, 2),
        evacuated=strategies.none() | strategies.sampled_from(DOMAINS),
        informed=INFORMED,
    )
    def open_flow(
        self,
        balancers: tuple[str, ...],
        lost: set[int],
        lost_answers: int,
        evacuated: str | None,
        informed: tuple[str, ...],
    ) -> None:
        """A caller opens a flow; a domain may be evacuated between its copies.

        Routers may send each copy to another balancer.
        """
        caller = _Caller(flow_of(1000 + len(self.callers)), self.random.getrandbits(32))
        self.callers.append(caller)
        self.lost_answers = lost_answers
        self._open(caller, balancers, lost, evacuated, informed)

    @precondition(lambda self: self.callers)
    @rule(
        data=strategies.data(),
        balancers=strategies.tuples(*[strategies.sampled_from(BALANCERS)] * 3),
        lost=LOST_MESSAGES,
        evacuated=strategies.none() | strategies.sampled_from(DOMAINS),
        informed=INFORMED,
    )
    def open_flow_from_used_port(
        self,
        data: strategies.DataObject,
        balancers: tuple[str, ...],
        lost: set[int],
        evacuated: str | None,
        informed: tuple[str, ...],
    ) -> None:
        """A caller opens a flow from the port of one that was discarded as idle."""
        caller = data.draw(strategies.sampled_from(self.callers))
        self._advance(MAX_OPENING_SECONDS)
        for upstream in self.upstreams_by_host.values():
            upstream.sequence_by_flow.pop(caller.flow, None)
        caller.initial_sequence = self.random.getrandbits(32)
        caller.owner, caller.acknowledged, caller.was_reset = "", 0, False
        self._open(caller, balancers, lost, evacuated, informed)

    def _open(
        self,
        caller: _Caller,
        balancers: tuple[str, ...],
        lost: set[int],
        evacuated: str | None,
        informed: tuple[str, ...],
    ) -> None:
        self._lose(lost)
        for copy, balancer in enumerate(balancers):
            packet = self._packet(caller, SYN, ack=copy)
            self._to_balancer(balancer, packet)
            self._advance(0.2)
            if caller.owner or caller.was_reset:
                break
            if evacuated and copy == 0:
                self._toggle_evacuation(evacuated, informed)
        self.lost_answers = 0
        self._lose(set())
        if caller.owner:
            self._send(caller, balancers[-1], length=0)

    @precondition(lambda self: any(c.owner for c in self.callers))
    @rule(
        data=strategies.data(),
        balancer=strategies.sampled_from(BALANCERS),
        lost=LOST_MESSAGES,
    )
    def send_request(
        self, data: strategies.DataObject, balancer: str, lost: set[int]
    ) -> None:
        open_callers = [c for c in self.callers if c.owner and not c.was_reset]
        if not open_callers:
            return
        caller = data.draw(strategies.sampled_from(open_callers))
        self._lose(lost)
        self.responding_upstreams_by_flow.pop(caller.flow, None)
        # Within the two seconds after which a flow counts as broken.
        for _ in range(4 if self.returns_half_open else 10):
            self._send(caller, balancer, length=100)
            self._advance(0.2)
            if caller.was_reset or caller.flow in self.responding_upstreams_by_flow:
                break
        self._lose(set())
        if self.returns_half_open or self._is_held_by_owner(caller):
            assert (
                caller.was_reset
                or self.responding_upstreams_by_flow.get(caller.flow) == caller.owner
            )

    @rule(host=strategies.sampled_from(AGENTS), has_heartbeat=strategies.booleans())
    def restart_agent(self, host: str, has_heartbeat: bool) -> None:
        self._start_agent(host, has_heartbeat=has_heartbeat)
        self._send_status(host)

    @rule(host=strategies.sampled_from(BALANCERS))
    def restart_balancer(self, host: str) -> None:
        self._start_balancer(host)

    @rule(host=strategies.sampled_from(AGENTS))
    def replace_upstream(self, host: str) -> None:
        self._start_upstream(host)
        self._send_first_heartbeat(host)

    @rule(host=strategies.sampled_from(AGENTS))
    def restart_upstream_under_its_id(self, host: str) -> None:
        before = self.upstreams_by_host[host].upstream_id
        self._start_upstream(host)
        self.upstreams_by_host[host].upstream_id = before
        self._send_first_heartbeat(host)

    @rule(host=strategies.sampled_from(AGENTS), is_full=strategies.booleans())
    def fill_upstream(self, host: str, is_full: bool) -> None:
        self.upstreams_by_host[host].is_full = is_full

    @rule(host=strategies.sampled_from(AGENTS))
    def drain_upstream(self, host: str) -> None:
        upstream = self.upstreams_by_host[host]
        upstream.is_leaving = True
        leaving = heartbeat(
            upstream.upstream_id,
            sequence=int(self.now * 1000) + 2,
            is_leaving=True,
            started_ms=upstream.started_ms,
        )
        self.upstream_states_by_host[host].on_heartbeat(leaving, now=self.now)

    @rule(
        domain=strategies.sampled_from(DOMAINS),
        informed=INFORMED,
    )
    def evacuate_or_take_back(self, domain: str, informed: tuple[str, ...]) -> None:
        """Operators change an evacuation; some nodes receive it now, others later."""
        self._toggle_evacuation(domain, informed)

    @rule(host=strategies.sampled_from((*BALANCERS, *AGENTS)))
    def inform_of_evacuations(self, host: str) -> None:
        self._send_evacuations(host)

    @invariant()
    def only_lost_flows_are_reset(self) -> None:
        for caller in self.callers:
            if not caller.was_reset or not caller.owner:
                continue
            assert not self._is_held_by_owner(caller)

    @invariant()
    def foreign_upstreams_get_one_packet_per_flow_and_restart(self) -> None:
        if not self.returns_half_open:
            return
        for upstream in self.upstreams_by_host.values():
            for count in upstream.foreign.values():
                assert count <= 1 + self.incarnations

    def _toggle_evacuation(self, domain: str, informed: tuple[str, ...]) -> None:
        domains = self.evacuations.domains ^ {domain}
        self.evacuations = Evacuations(self.evacuations.revision + 1, domains)
        for host in informed:
            self._send_evacuations(host)

    def _send_evacuations(self, host: str) -> None:
        self.registers_by_host[host].update(self.evacuations)
        if host in self.agents_by_host:
            covered = self.registers_by_host[host].is_evacuated(
                DOMAINS_BY_AGENT_HOST[host]
            )
            self.agents_by_host[host].is_evacuated = covered

    def _lose(self, lost: set[int]) -> None:
        self.lost = lost
        self.message_number = 0

    def _start_upstream(self, host: str) -> None:
        self.incarnations += 1
        number = self.incarnations
        self.upstreams_by_host[host] = _Upstream(f"u-{number}", number, self.random)

    def _send_first_heartbeat(self, host: str) -> None:
        """Sends the first heartbeat of a new incarnation, which has no earlier flow."""
        upstream = self.upstreams_by_host[host]
        first = heartbeat(upstream.upstream_id, started_ms=upstream.started_ms)
        self.upstream_states_by_host[host].on_heartbeat(first, now=self.now)
        self._perform(host, self.agents_by_host[host].verify_all())
        self._send_status(host)

    def _start_agent(self, host: str, *, has_heartbeat: bool = True) -> None:
        self.incarnations += 1
        upstream = self.upstreams_by_host[host]
        upstream_state = UpstreamState(
            service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS
        )
        upstream_state.on_reachable(now=self.now)
        incarnation = Incarnation(upstream.upstream_id, upstream.started_ms)
        leaving = frozenset({incarnation} if upstream.is_leaving else ())
        upstream_state.on_leaves_read(leaving, now=self.now)
        if has_heartbeat:
            first = heartbeat(
                upstream.upstream_id,
                is_leaving=upstream.is_leaving,
                started_ms=upstream.started_ms,
            )
            upstream_state.on_heartbeat(first, now=self.now)
        self.upstream_states_by_host[host] = upstream_state
        self.agents_by_host[host] = AgentFlows(upstream=upstream_state, log=quiet_log())
        self.registers_by_host[host] = EvacuationRegister()
        self._send_evacuations(host)

    def _start_balancer(self, host: str) -> None:
        fleet = Fleet(member(host, role=Role.BALANCER, host=host), now=self.now)
        fleet.apply_registrations([], now=self.now)
        self.fleets_by_host[host] = fleet
        self.registers_by_host[host] = EvacuationRegister()
        self._send_evacuations(host)
        self.balancers_by_host[host] = balancer_flows(
            fleet, evacuations=self.registers_by_host[host]
        )
        for agent in AGENTS:
            self._send_status(agent)

    def _send_status(self, host: str) -> None:
        upstream = self.upstreams_by_host[host]
        for name, fleet in self.fleets_by_host.items():
            record = attrs.evolve(
                member(
                    host,
                    host=host,
                    domain=DOMAINS_BY_AGENT_HOST[host],
                    incarnation=self.incarnations,
                ),
                state=self.upstream_states_by_host[host].state(now=self.now),
                data=Endpoint(host, PORT),
            )
            status = Status(record, Load())
            if name in self.balancers_by_host and upstream:
                fleet.handle_status(status, now=self.now)

    def _advance(self, seconds: float) -> None:
        """Advances the clock in small steps while members continue to send."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for host, upstream_state in self.upstream_states_by_host.items():
                upstream = self.upstreams_by_host[host]
                next_heartbeat = heartbeat(
                    upstream.upstream_id,
                    sequence=int(self.now * 1000),
                    is_leaving=upstream.is_leaving,
                    started_ms=upstream.started_ms,
                )
                upstream_state.on_heartbeat(next_heartbeat, now=self.now)
                self._send_status(host)
            for host, balancer in self.balancers_by_host.items():
                self._perform(host, balancer.tick(now=self.now))

    def _packet(
        self, caller: _Caller, flags: int, *, ack: int, length: int = 0
    ) -> Segment:
        caller.requests += 1
        datagram = caller.flow + bytes((flags,)) + caller.requests.to_bytes(4, "big")
        seq = caller.initial_sequence
        if not flags & SYN:
            seq = (seq + caller.requests) % SEQUENCE_SPACE
        packet = Segment(caller.flow, flags, seq, ack, length, datagram)
        self.packets_by_datagram[datagram] = packet
        return packet

    def _send(self, caller: _Caller, balancer: str, *, length: int) -> None:
        packet = self._packet(caller, ACK, ack=caller.acknowledged, length=length)
        self._to_balancer(balancer, packet)

    def _to_balancer(self, host: str, packet: Segment) -> None:
        self._perform(
            host, self.balancers_by_host[host].on_segment(packet, now=self.now)
        )

    def _perform(self, host: str, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, ToPeer):
                self._deliver(host, action)
            elif isinstance(action, ToUpstream):
                self._to_upstream(host, self.packets_by_datagram[action.datagram])
            elif isinstance(action, ToCaller):
                self._to_caller(host, action.flow)
            elif isinstance(action, ResetCaller):
                self._reset(action)

    def _reset(self, reset: ResetCaller) -> None:
        """Resets a caller, which ignores numbers far from its own on an open flow."""
        caller = self._caller_by_flow(reset.flow)
        lowest = (caller.acknowledged - RESET_WINDOW_BYTES) % SEQUENCE_SPACE
        highest = (caller.acknowledged + RESET_WINDOW_BYTES) % SEQUENCE_SPACE
        if not caller.owner or is_between(reset.acknowledged, lowest, highest):
            caller.was_reset = True

    def _deliver(self, sender: str, action: ToPeer) -> None:
        self.message_number += 1
        if self.message_number - 1 in self.lost:
            return
        message = decode_peer_message(action.datagram)
        target = action.address[0]
        if isinstance(message, Forward):
            packet = self.packets_by_datagram[message.datagram]
            self.sender = sender
            actions = self.agents_by_host[target].on_forward(
                message, packet, (sender, PORT), now=self.now
            )
            self._perform(target, actions)
            return
        if isinstance(message, OwnerQuery):
            answers = self.agents_by_host[target].on_owner_query(
                message, (sender, PORT), now=self.now
            )
            self._perform(target, answers)
            return
        assert isinstance(message, FlowVerdict)
        agent = self.fleets_by_host[target].peers_by_address.get((sender, PORT))
        if agent is not None:
            actions = self.balancers_by_host[target].on_verdict(
                agent, message, now=self.now
            )
            self._perform(target, actions)

    def _to_upstream(self, host: str, packet: Segment) -> None:
        upstream = self.upstreams_by_host[host]
        if packet.flags & SYN:
            domain = DOMAINS_BY_AGENT_HOST[host]
            assert not self.registers_by_host[host].is_evacuated(domain)
            assert not self.registers_by_host[self.sender].is_evacuated(domain)
            opening = (packet.flow, packet.seq)
            assert not upstream.is_leaving or opening in upstream.opened
            upstream.opened.add(opening)
        sequence = upstream.sequence_by_flow.get(packet.flow)
        if packet.flags & SYN and sequence is None and not upstream.is_full:
            sequence = self.random.getrandbits(32)
            upstream.sequence_by_flow[packet.flow] = sequence
        is_held = not packet.flags & SYN and sequence is not None
        if is_held and not is_between(
            packet.ack, sequence or 0, (sequence or 0) + (1 << 20)
        ):
            # A half-open flow: the caller acknowledged another upstream's number.
            if not self.returns_half_open:
                return
            sequence = None
        if sequence is None:
            if not packet.flags & SYN:
                upstream.foreign[packet.flow] += 1
            bounced = attrs.evolve(packet, flags=packet.flags | BOUNCED)
            self._from_upstream(host, bounced)
        elif packet.flags & SYN:
            self._from_upstream(host, self._answer(packet, SYN | ACK, sequence, 0))
        elif packet.length:
            caller = self._caller_by_flow(packet.flow)
            assert caller.owner == upstream.upstream_id
            self._from_upstream(host, self._answer(packet, ACK, sequence + 1, 500))

    def _answer(self, packet: Segment, flags: int, seq: int, length: int) -> Segment:
        return Segment(
            packet.flow, flags, seq % (1 << 32), packet.seq, length, b"answer"
        )

    def _from_upstream(self, host: str, packet: Segment) -> None:
        self._sequence_in_flight = packet.seq
        actions = self.agents_by_host[host].on_upstream_segment(packet, now=self.now)
        self._perform(host, actions)

    def _to_caller(self, host: str, flow: bytes) -> None:
        caller = self._caller_by_flow(flow)
        upstream = self.upstreams_by_host[host]
        if self.lost_answers:
            self.lost_answers -= 1
            return
        if not caller.owner:
            caller.owner = upstream.upstream_id
            caller.acknowledged = (upstream.sequence_by_flow[flow] + 1) % (1 << 32)
        elif caller.owner == upstream.upstream_id:
            self.responding_upstreams_by_flow[flow] = upstream.upstream_id

    def _is_held_by_owner(self, caller: _Caller) -> bool:
        return any(
            upstream.upstream_id == caller.owner
            and caller.flow in upstream.sequence_by_flow
            for upstream in self.upstreams_by_host.values()
        )

    def _caller_by_flow(self, flow: bytes) -> _Caller:
        return next(caller for caller in self.callers if caller.flow == flow)


TestOwnershipWalk = OwnershipWalk.TestCase
TestOwnershipWalk.settings = settings(max_examples=240, stateful_step_count=WALK_STEPS)
