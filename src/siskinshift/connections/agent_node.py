"""The agent of connection flows: the process beside an upstream."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

import xxhash

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.agent_flows import AgentFlows
from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.fleet import STATUS_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import READ_RETRY_SECONDS
from siskinshift.connections.flow_snapshot import UPLOAD_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import FlowSnapshot
from siskinshift.connections.flow_snapshot import FlowSnapshotStore
from siskinshift.connections.node import ConnectionNode
from siskinshift.connections.owned_flow import RestoredFlow
from siskinshift.connections.peer_codec import encode_all_owned
from siskinshift.connections.peer_codec import encode_evacuations_message
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Question
from siskinshift.connections.peer_messages import WarmUpRate
from siskinshift.connections.registration import role_prefix
from siskinshift.connections.snapshot_upload import SnapshotUpload
from siskinshift.connections.snapshot_writer import choose_writer
from siskinshift.connections.upstream_life import EndNotice
from siskinshift.connections.upstream_life import Heartbeat
from siskinshift.connections.upstream_life import HeartbeatEffect
from siskinshift.connections.upstream_life import UpstreamLife
from siskinshift.connections.upstream_restart_check import UpstreamRestartCheck
from siskinshift.control.exceptions import BadMessageError
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.platform.heartbeats import ACKNOWLEDGEMENT
from siskinshift.platform.heartbeats import decode_upstream_call
from siskinshift.platform.packets import decode_from_caller
from siskinshift.platform.packets import decode_from_upstream
from siskinshift.runtime.event_loop import open_datagram_socket
from siskinshift.runtime.http_server import HttpReply


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.actions import Action
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.incarnation import Incarnation
    from siskinshift.connections.node_settings import NodeSettings
    from siskinshift.connections.owned_flow import LongFlow
    from siskinshift.connections.peer_messages import Load
    from siskinshift.connections.peer_messages import PeerMessage
    from siskinshift.messages.core import Endpoint
    from siskinshift.messages.core import Member
    from siskinshift.runtime.http_server import HttpRequest


# An upstream's call is answered within a second or it calls again.
CALL_SECONDS = 0.8
# A leaving agent lets requests that run end; its successor is up within a second and
# most requests take less than this.
LEAVE_SECONDS_MAXIMUM = 1.0
LEAVE_STEP_SECONDS = 0.02
# A heartbeat that is late by this much lets the agent look whether the upstream's
# process is still there.
LATE_SECONDS = 0.25
PROBE_INTERVAL_SECONDS = 0.2
# How often the agent looks after its upstream.
LOOK_INTERVAL_SECONDS = 0.1
PROBE_TIMEOUT_SECONDS = 0.3
HOST_SIZE = 4
UNKNOWN_HOST = bytes(HOST_SIZE)


class AgentNode(ConnectionNode):
    """Owns the flows of the upstream on its instance."""

    def __init__(self, settings: NodeSettings) -> None:
        """Binds the sockets.

        Args:
            settings: Settings of the node; upstream and outlet are required.
        """
        super().__init__(settings, role=Role.AGENT)
        assert settings.upstream is not None
        assert settings.upstream_outlet is not None
        self.life = UpstreamLife(
            service_id=settings.service_id,
            heartbeat_interval=settings.heartbeat_interval,
        )
        self.flows = AgentFlows(life=self.life, log=self.log)
        self.evacuations = EvacuationRegister()
        outlet = settings.upstream_outlet
        self._upstream_socket = open_datagram_socket(outlet.host, outlet.port)
        self.owns(self._upstream_socket.close)
        self._upstream_address = (settings.upstream.host, settings.upstream.port)
        self._snapshot_upload = SnapshotUpload(
            member_id=settings.node_id, writer=self._writer, log=self.log
        )
        self.owns(self._snapshot_upload.close)
        self._snapshots = FlowSnapshotStore(
            store=self.store,
            member_id=settings.node_id,
            flows=self._long_flows,
            upload=self._snapshot_upload.upload,
            log=self.log,
        )
        self._schedule = self.new_heartbeat_schedule(interval=STATUS_INTERVAL_SECONDS)
        self._heartbeat_at = float("-inf")
        self._probed_at = float("-inf")
        self._is_probing = False
        self._is_process_gone = False
        self._verified: Incarnation | None = None
        self._upstream_restart_check = UpstreamRestartCheck()
        self._is_list_urgent = threading.Event()
        self._told_incarnations_by_id: dict[str, int] = {}
        self._left_by = float("inf")

    def on_start(self) -> None:
        """Starts to listen to the upstream and to peers."""
        super().on_start()
        if self.node_settings.heartbeats is not None:
            self.serve(self.node_settings.heartbeats, self._answer_upstream)
        self.spawn(self._keep_snapshot)

    def add_sockets(self) -> None:
        """Adds the socket of the upstream's packets."""
        super().add_sockets()
        self.loop.add_socket(self._upstream_socket, self._on_upstream_datagram)

    @property
    def is_ready(self) -> bool:
        """Whether the upstream takes new flows."""
        return not self.is_leaving and self.life.accepts(now=self.clock())

    @property
    def load(self) -> Load:
        """Load of the upstream as its flows show it."""
        return self.flows.load

    @property
    def members_prefix(self) -> str:
        """Entries of balancers."""
        return role_prefix(Role.BALANCER)

    def is_relevant_member(self, member: Member) -> bool:
        """Agents speak to balancers alone.

        Guards against a flood when all nodes start: most pairs of a fleet are agents,
        and a greeting with its answer is 0.7 KB.
        """
        return member.role is Role.BALANCER

    def begin_shutdown(self) -> None:
        """Takes no new flow and ends as soon as no request runs."""
        now = self.clock()
        self._left_by = now
        self.flows.is_pausing = True
        if self.life.is_gone:
            self.perform(self.flows.upstream_ended(now=now))
        else:
            self._left_by += LEAVE_SECONDS_MAXIMUM
        self.send_status(self.fleet.balancers())

    def on_message(
        self, message: PeerMessage, source: tuple[str, int], now: float
    ) -> Iterable[Action]:
        """Takes a caller's packet, a question about its flow, or operators' orders."""
        if isinstance(message, Evacuations):
            return self._take_evacuations(message, source, now=now)
        if isinstance(message, WarmUpRate):
            self.flows.warm_up.rate = message.rate
            return ()
        if isinstance(message, Question):
            return self.flows.on_question(message, source, now=now)
        if not isinstance(message, Forward):
            return ()
        segment = decode_from_caller(message.datagram)
        if segment is None:
            return ()
        actions = self.flows.on_forward(message, segment, source, now=now)
        if self.flows.is_evacuated and message.purpose is Purpose.OPEN:
            # A balancer that is behind learns why; one that is ahead corrects it.
            current = encode_evacuations_message(self.evacuations.current)
            actions.append(ToPeer(source, current))
        return actions

    def _take_evacuations(
        self, evacuations: Evacuations, source: tuple[str, int], *, now: float
    ) -> Iterable[Action]:
        if self.evacuations.supersedes(evacuations):
            current = encode_evacuations_message(self.evacuations.current)
            return [ToPeer(source, current)]
        self.evacuations.update(evacuations)
        is_evacuated = self.evacuations.is_evacuated(self.member.failure_domain)
        if is_evacuated == self.flows.is_evacuated:
            return ()
        self.flows.is_evacuated = is_evacuated
        if not is_evacuated:
            # It may have become cold since its last heartbeat.
            self.life.presume_cold(now=now)
        self.log.fact(
            "evacuated" if is_evacuated else "evacuation ended",
            revision=evacuations.revision,
            source=source[0],
            flows=len(self.flows),
        )
        return ()

    def on_due(self, now: float) -> float:
        """Tells balancers of this agent, looks after the upstream."""
        self.perform(self.flows.tick(now=now))
        self._update_member(now)
        if now >= self._schedule.next_due:
            for each in self._schedule.due(self.fleet.balancers(), now=now):
                self.send_heartbeats(each)
        due = self._schedule.next_due
        if not self.is_leaving:
            self._probe_if_late(now)
            return min(due, now + LOOK_INTERVAL_SECONDS)
        if now >= self._left_by or not self.flows.load.running:
            self.stopping.set()
        return min(due, now + LEAVE_STEP_SECONDS)

    def send_to_upstream(self, datagram: bytes) -> None:
        """Hands a packet to the upstream."""
        try:
            self._upstream_socket.sendto(datagram, self._upstream_address)
        except OSError as error:
            self.log.decision("upstream send failed", error=str(error))

    def _on_upstream_datagram(
        self, datagram: bytes, source: tuple[str, int], now: float
    ) -> None:
        segment = decode_from_upstream(datagram)
        if segment is None:
            self.log.decision("packet unreadable", source=source[0])
            return
        self._on_sign_of_life()
        self.perform(self.flows.on_upstream_segment(segment, now=now))

    def _answer_upstream(self, request: HttpRequest) -> HttpReply:
        try:
            call = decode_upstream_call(request)
        except BadMessageError as error:
            # Not from this instance's upstream, and as often as its writer likes.
            self.log.decision("heartbeat refused", error=str(error), path=request.path)
            return HttpReply(400)
        if call is None:
            return HttpReply(404)
        # Acknowledged only when it is in force: balancers were told, and the agent
        # itself refuses new flows from now on if the upstream leaves.
        self.loop.call(lambda: self._on_upstream_call(call)).result(CALL_SECONDS)
        return HttpReply(200, ACKNOWLEDGEMENT)

    def _on_upstream_call(self, call: Heartbeat | EndNotice) -> None:
        now = self.clock()
        if isinstance(call, EndNotice):
            is_current = self.life.on_end(call.incarnation)
            self.log.fact(
                "upstream ends",
                upstream=call.incarnation.upstream_id,
                started_ms=call.incarnation.started_ms,
                now=is_current,
            )
            self._update_member(now)
            return
        self._on_heartbeat(call, now)

    def _on_heartbeat(self, call: Heartbeat, now: float) -> None:
        effect = self.life.on_heartbeat(call, now=now)
        if effect is HeartbeatEffect.IGNORED:
            self.log.decision(
                "heartbeat ignored",
                upstream=call.incarnation.upstream_id,
                started_ms=call.incarnation.started_ms,
                service=call.service_id,
                sequence=call.sequence,
                present_started_ms=self._present_started_ms,
            )
            return
        self._heartbeat_at = now
        self._is_process_gone = False
        if effect is HeartbeatEffect.NONE:
            return
        self.log.fact(
            "upstream",
            upstream=call.incarnation.upstream_id,
            started_ms=call.incarnation.started_ms,
            sequence=call.sequence,
            leaving=call.is_leaving,
            effect=effect.name.lower(),
        )
        self._update_member(now)
        self._take_first_start(self._upstream_restart_check.on_heartbeat(call))
        if effect is HeartbeatEffect.REPLACED:
            # All of its flows have passed through this process; one that follows must
            # not take the list for that of a start before.
            self.flows.know_all()
            self._is_list_urgent.set()
        if self.life.incarnation != self._verified:
            # Asks about all flows at once: those of the start before are reset as
            # the new one returns them, those that it has taken since live on.
            self._verified = self.life.incarnation
            self.perform(self.flows.verify_all())

    def _take_first_start(self, is_new: bool) -> None:
        if is_new:
            self.log.fact("upstream is new", upstream=self.life.upstream_id)
            self.flows.know_all()

    @property
    def _present_started_ms(self) -> int | None:
        return self.life.incarnation.started_ms if self.life.incarnation else None

    def _keep_snapshot(self) -> None:
        listed = self._snapshots.load()
        while listed is None and not self.stopping.wait(READ_RETRY_SECONDS):
            listed = self._snapshots.load()
        if listed is not None:
            self._take_listed(listed)
        while not self.stopping.is_set():
            is_urgent = self._is_list_urgent.wait(UPLOAD_INTERVAL_SECONDS)
            self._is_list_urgent.clear()
            if not self.stopping.is_set():
                self._snapshots.step(now=self.clock(), is_urgent=is_urgent)

    def _take_listed(self, listed: FlowSnapshot) -> None:
        flows = [self._restored(row) for row in listed.packets]
        known = [flow for flow in flows if flow is not None]
        if len(known) < len(flows):
            self.log.fact("flow list unreadable", rows=len(flows) - len(known))
        self.loop.call(lambda: self._restore(known, listed.incarnation))

    def _restore(
        self, flows: list[RestoredFlow], incarnation: Incarnation | None
    ) -> None:
        now = self.clock()
        self.perform(self.flows.restore(flows, now=now))
        self._take_first_start(
            self._upstream_restart_check.on_snapshot_read(incarnation)
        )
        self.log.fact("flows restored", flows=len(flows))
        # Balancers that were heard before the list was read are told now.
        self._told_incarnations_by_id.clear()
        if self.life.can_be_asked(now=now):
            self._verified = self.life.incarnation
            self.perform(self.flows.verify_all())

    def _writer(self) -> Endpoint | None:
        """Names the balancer of the failure domain that keeps this agent's list."""

        def choose() -> Peer | None:
            domain = self.member.failure_domain
            near = [
                peer
                for peer in self.fleet.balancers()
                if peer.member.failure_domain == domain
            ]
            key = xxhash.xxh3_64_intdigest(self.member.member_id.encode())
            return choose_writer(key, near, now=self.clock())

        try:
            writer = self.loop.call(choose).result(CALL_SECONDS)
        except TimeoutError:
            # The instance stands still; the agent writes the list itself.
            return None
        return writer.member.control if writer is not None else None

    def _long_flows(self) -> FlowSnapshot:
        def collect() -> FlowSnapshot:
            flows = self.flows.long_flows(now=self.clock())
            rows = tuple(_row_of(flow) for flow in flows)
            return FlowSnapshot(rows, self.life.incarnation)

        return self.loop.call(collect).result(CALL_SECONDS)

    def _restored(self, row: bytes) -> RestoredFlow | None:
        segment = decode_from_caller(row[:-HOST_SIZE])
        if segment is None or not segment.is_bare:
            return None
        host = socket.inet_ntoa(row[-HOST_SIZE:])
        return RestoredFlow(segment, (host, self.node_settings.peer_port))

    def on_peer_status(self, peer: Peer, now: float) -> Iterable[Action]:
        """Names a balancer's flows to it, once for each of its lives."""
        member = peer.member
        known = self._told_incarnations_by_id.get(member.member_id)
        if member.role is not Role.BALANCER or known == member.incarnation:
            return ()
        self._told_incarnations_by_id[member.member_id] = member.incarnation
        flows = self.flows.flows_via(peer.address)
        if flows:
            self.log.decision("owner told", peer=member.member_id, flows=len(flows))
        messages = encode_all_owned(self.member.member_id, flows)
        return [ToPeer(peer.address, message) for message in messages]

    def _update_member(self, now: float) -> None:
        state = self.life.state(now=now)
        if self.is_leaving:
            state = MemberState.GONE if self.life.is_gone else MemberState.JOINING
        weight = self.life.weight(now=now)
        if self.change_member(state=state, weight=weight, slots=self.life.slots):
            self.send_status(self.fleet.balancers())

    def _probe_if_late(self, now: float) -> None:
        """Looks for the upstream's process while its heartbeat is awaited.

        Guards against callers that wait for an upstream that crashed: a port without
        a listener proves that the process is gone, and its flows can be reset. And
        against an upstream that idles beside an agent that has just started: one that
        lets the agent connect takes flows before its next heartbeat.
        """
        late_at = self._heartbeat_at + self.node_settings.heartbeat_interval
        if now <= late_at + LATE_SECONDS:
            return
        if self.life.incarnation and not self.flows.waits_for_upstream:
            return
        if not self._is_probing and now - self._probed_at >= PROBE_INTERVAL_SECONDS:
            self._probed_at = now
            self._is_probing = True
            self.spawn(self._probe)

    def _probe(self) -> None:
        started_at = self.clock()
        try:
            connection = socket.create_connection(
                self._upstream_address, PROBE_TIMEOUT_SECONDS
            )
            connection.close()
            self.loop.call(self._on_sign_of_life)
        except ConnectionRefusedError:
            self.loop.call(lambda: self._on_process_gone(started_at))
        except OSError as error:
            # No proof either way: it may be slow, or the instance is.
            self.log.fact("upstream probe failed", error=str(error))
        finally:
            self._is_probing = False

    def _on_sign_of_life(self) -> None:
        if self.life.incarnation:
            return
        now = self.clock()
        self._is_process_gone = False
        is_first = not self.life.accepts(now=now)
        self.life.on_sign_of_life(now=now)
        if is_first:
            self.log.fact("upstream answers", service=self.life.service_id)
            self._update_member(now)
            self.perform(self.flows.verify_all())

    def on_stop(self) -> None:
        """Takes the entry of an agent away that does not come back."""
        super().on_stop()
        self._is_list_urgent.set()
        if self.life.is_gone:
            self.deregister()

    def _on_process_gone(self, probed_at: float) -> None:
        if self.flows.upstream_heard_at >= probed_at:
            # A packet of the upstream that came meanwhile proves the opposite.
            self.log.fact("upstream probe contradicted", upstream=self.life.upstream_id)
            return
        if not self._is_process_gone:
            self._is_process_gone = True
            self.log.fact("upstream process gone", upstream=self.life.upstream_id)
        self.perform(self.flows.upstream_ended(now=self.clock()))


def _row_of(flow: LongFlow) -> bytes:
    host = socket.inet_aton(flow.via[0]) if flow.via else UNKNOWN_HOST
    return flow.packet + host
