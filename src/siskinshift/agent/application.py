"""The agent: owns the flows of the upstream it stands beside."""

from __future__ import annotations

import threading
from random import Random
from typing import TYPE_CHECKING

from siskinshift.agent.datagram_flows import DatagramFlows
from siskinshift.agent.hand_over import HandOver
from siskinshift.agent.life import AgentLife
from siskinshift.agent.request_flows import RequestFlows
from siskinshift.agent.request_runner import RequestRunner
from siskinshift.agent.upstream_connections import UpstreamConnections
from siskinshift.core.clocks import monotonic_clock
from siskinshift.core.errors import ErrorKind
from siskinshift.core.packets import Packet
from siskinshift.core.views import is_drained
from siskinshift.flows.actions import DeliverToFlow
from siskinshift.flows.actions import DropEnvelope
from siskinshift.flows.actions import ForwardToAgent
from siskinshift.flows.actions import SendNotes
from siskinshift.flows.notes_sender import NotesSender
from siskinshift.flows.router import FlowRouter
from siskinshift.load.gate import LoadGate
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.core import ServiceMode
from siskinshift.runtime.node_application import NodeApplication
from siskinshift.wire.exceptions import WireError


if TYPE_CHECKING:
    from siskinshift.core.views import View
    from siskinshift.flows.actions import FlowAction
    from siskinshift.messages.flows import FlowNotes
    from siskinshift.settings.generated import Settings


TICK_SECONDS = 0.05


class AgentApplication(NodeApplication):
    """The process beside one upstream."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(
            settings,
            role=Role.AGENT,
            state=MemberState.JOINING,
            weight=0,
            upstream_class=settings.agent.upstream_class,
            slots=settings.agent.slots,
        )
        node = settings.node
        self._lock = threading.Lock()
        self._router = FlowRouter(
            member_id=node.node_id,
            incarnation=self.incarnation,
            settings=settings.flows,
        )
        self._life = AgentLife(settings.flows)
        self._flows = DatagramFlows(
            upstream=settings.agent.upstream_endpoint,
            idle_timeout=settings.agent.flow_idle_timeout,
            clock=monotonic_clock,
            send_answer=self._send_answer,
            on_flow_end=self._on_flow_end,
        )
        self._connections = UpstreamConnections(settings.agent.upstream_endpoint)
        self._runner = RequestRunner(
            gate=LoadGate(
                member_id=node.node_id,
                incarnation=self.incarnation,
                slots=settings.agent.slots,
                ramp_time=settings.flows.ramp_duration,
                settings=settings.load,
                random=Random(),
                now=monotonic_clock(),
            ),
            connections=self._connections,
            held_maximum=settings.agent.connections,
            spawn=self.spawn,
            clock=monotonic_clock,
            telemetry=self.telemetry,
            is_leaving=lambda: self._life.sends_callers_away(now=monotonic_clock()),
        )
        self._request_flows = RequestFlows(
            settings=settings.agent,
            runner=self._runner,
            spawn=self.spawn,
            clock=monotonic_clock,
            counters=self.counters,
            send_answer=self._send_answer,
            on_flow_end=self._on_flow_end,
        )
        self._hand_over = HandOver(
            member_id=node.node_id,
            upstream_class=settings.agent.upstream_class,
            runner=self._runner,
            routes=self.routes,
            key_ring=self.key_ring,
            spawn=self.spawn,
            clock=monotonic_clock,
            counters=self.counters,
            random=Random(),
        )
        self._notes_sender = NotesSender(
            application=self,
            routes=self.routes,
            key_ring=self.key_ring,
            clock=monotonic_clock,
            on_notes=self._on_notes,
        )

    def on_start(self) -> None:
        """Opens the control server and starts to take flows."""
        self.add_cleanup(self._flows.close)
        self.add_cleanup(self._connections.close)
        self.add_cleanup(self._hand_over.close)
        self.open_node()
        self.membership.views.subscribe(self._on_view)
        self.membership.start()
        self.spawn(self.data_socket.receive_until, self.stopping, self._on_datagram)
        self.spawn(self._flows.relay_until, self.stopping)
        self.run_every(TICK_SECONDS, self._tick)

    def on_stop(self) -> None:
        """Says good-bye to callers and ends exchanges with the upstream."""
        self._request_flows.close(is_silent=self.is_aborted)
        self._runner.cancel_all()
        self._hand_over.cancel_all()

    def drain(self) -> None:
        """Gives buckets away and takes no new flows; owned flows go on."""
        self._life.drain(now=monotonic_clock())
        self._runner.refuse_peer_requests()

    def leave(self, at_once: threading.Event) -> None:
        """Drains and waits until nothing would be cut, or the time allowed is over.

        Args:
            at_once: Ends the wait when set.
        """
        self.drain()
        until = monotonic_clock() + self.settings.agent.drain_timeout
        while not self._has_left() and monotonic_clock() < until:
            if at_once.wait(TICK_SECONDS):
                return

    def _has_left(self) -> bool:
        held = len(self._flows) + len(self._request_flows) + len(self._runner)
        held += len(self._hand_over)
        return held == 0 and self._life.is_announced_draining

    def _step_life(self) -> None:
        step = self._life.step(
            now=monotonic_clock(), knows_service=self._knows_its_service()
        )
        if step is not None:
            self.membership.change_own(state=step.state, weight=step.weight)
        if self._life.sends_callers_away(now=monotonic_clock()):
            self._request_flows.drain()
            self._runner.drain()
        elif self._is_drained_by_operators():
            self._request_flows.drain()
        else:
            self._request_flows.resume()

    def _knows_its_service(self) -> bool:
        # Guards against an agent that takes flows blind: without configuration and
        # peers it would make new flows for packets whose owner is another agent.
        own_class = self.settings.agent.upstream_class
        view = self.membership.views.current
        return any(
            service.upstream_class == own_class
            for service in view.services_by_id.values()
        )

    def _is_drained_by_operators(self) -> bool:
        settings = self.settings
        return any(
            is_drained(service, self.membership.own)
            for service in self.membership.views.current.services_by_id.values()
            if service.upstream_class == settings.agent.upstream_class
        )

    def _on_view(self, view: View) -> None:
        self._hand_over.update(view)
        for service in view.services_by_id.values():
            # An agent without work counts for the imbalance as well.
            if service.upstream_class == self.settings.agent.upstream_class:
                self.telemetry.slot_used(service.service_id, seconds=0.0)
        self._runner.update(view, upstream_class=self.settings.agent.upstream_class)
        with self._lock:
            actions = self._router.update(view, now=monotonic_clock())
        self._carry_out(actions)

    def _on_datagram(self, datagram: bytes, source: tuple[str, int]) -> None:
        try:
            envelope = self.codec.unpack_envelope(datagram)
        except WireError as error:
            self.drops.record(error.kind, host=source[0], port=source[1])
            return
        if envelope.hop_count > self.settings.flows.max_hops:
            self.drops.record(ErrorKind.HOP_LIMIT, host=source[0], port=source[1])
            return
        with self._lock:
            actions = self._router.on_envelope(envelope, now=monotonic_clock())
        self._carry_out(actions)

    def _tick(self) -> None:
        with self._lock:
            actions = self._router.tick(now=monotonic_clock())
        self._carry_out(actions)
        self._runner.tick()
        self._flows.close_idle()
        self._step_life()

    def _on_notes(self, notes: FlowNotes) -> None:
        with self._lock:
            actions = self._router.on_notes(notes, now=monotonic_clock())
        self._carry_out(actions)

    def _on_flow_end(self, digest: int) -> None:
        with self._lock:
            service_id = self._router.service_of(digest)
            actions = self._router.flow_ended(digest, now=monotonic_clock())
        if service_id:
            # A process that stops with flows left cuts them.
            self.telemetry.flow_ended(service_id, broken=self.stopping.is_set())
        self._carry_out(actions)

    def _carry_out(self, actions: list[FlowAction]) -> None:
        for action in actions:
            if isinstance(action, DeliverToFlow):
                self.counters.add("flows.opened", int(action.is_new))
                self._deliver(action)
            elif isinstance(action, ForwardToAgent):
                self.counters.add("forwarded")
                datagram = self.codec.pack_envelope(action.envelope)
                self.data_socket.send(datagram, action.agent.data)
            elif isinstance(action, SendNotes):
                self._notes_sender.send(action)
            elif isinstance(action, DropEnvelope):
                self.drops.record(action.error)

    def _deliver(self, action: DeliverToFlow) -> None:
        view = self.membership.views.current
        service = view.services_by_id.get(action.service_id)
        if service is None:
            self.drops.record(ErrorKind.UNKNOWN_ADDRESS)
        elif service.mode is ServiceMode.REQUEST:
            self._request_flows.deliver(action.flow_hash, service, action.packet)
        else:
            self._flows.deliver(action.flow_hash, action.packet)

    def _send_answer(self, packet: Packet) -> None:
        answer = Packet(
            caller=packet.service_address,
            service_address=packet.caller,
            payload=packet.payload,
        )
        datagram = self.codec.pack(answer)
        self.data_socket.send(datagram, self.settings.agent.fabric_return)
