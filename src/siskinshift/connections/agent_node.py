"""The agent node: delivers callers' packets to the upstream of its instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.agent_flows import AgentFlows
from siskinshift.connections.agent_records import AgentRecords
from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.fleet import MIN_HEARTBEAT_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import FlowSnapshot
from siskinshift.connections.flow_snapshot import FlowSnapshotStore
from siskinshift.connections.leave_records import LeaveRecords
from siskinshift.connections.node import ConnectionNode
from siskinshift.connections.peer_codec import encode_evacuations_message
from siskinshift.connections.peer_codec import encode_ownership_announcements
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import OwnerQuery
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.peer_messages import WarmUpRate
from siskinshift.connections.put_back import PutBack
from siskinshift.connections.registration import role_prefix
from siskinshift.connections.snapshot_rows import decode_row
from siskinshift.connections.snapshot_rows import encode_row
from siskinshift.connections.snapshot_upload import SnapshotUpload
from siskinshift.connections.snapshot_writer import choose_writer
from siskinshift.connections.upstream_probe import UpstreamProbe
from siskinshift.connections.upstream_requests import UpstreamRequests
from siskinshift.connections.upstream_restart_check import UpstreamRestartCheck
from siskinshift.connections.upstream_state import Deregistration
from siskinshift.connections.upstream_state import HeartbeatEffect
from siskinshift.connections.upstream_state import UpstreamState
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.platform.packets import decode_from_caller
from siskinshift.platform.packets import decode_from_upstream
from siskinshift.runtime.event_loop import open_datagram_socket


if TYPE_CHECKING:
    from collections.abc import Iterable
    from concurrent.futures import Future

    from siskinshift.connections.actions import Action
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.heartbeat_schedule import HeartbeatRound
    from siskinshift.connections.incarnation import Incarnation
    from siskinshift.connections.node_settings import NodeSettings
    from siskinshift.connections.owned_flow import RestoredFlow
    from siskinshift.connections.peer_messages import Load
    from siskinshift.connections.peer_messages import PeerMessage
    from siskinshift.connections.upstream_requests import UpstreamMessage
    from siskinshift.connections.upstream_state import Heartbeat
    from siskinshift.messages.core import Endpoint
    from siskinshift.messages.core import Member


# Longest wait of another thread for the event loop.
LOOP_CALL_TIMEOUT_SECONDS = 0.8
# Longest time that a terminating agent continues for running requests. Its next process
# starts within a second, and most requests take less than this.
MAX_SHUTDOWN_SECONDS = 1.0
SHUTDOWN_CHECK_INTERVAL_SECONDS = 0.02
# After this delay of a heartbeat the agent probes whether the upstream's process is
# still running.
LATE_HEARTBEAT_SECONDS = 0.25
# Interval at which the agent checks its upstream.
CHECK_INTERVAL_SECONDS = 0.1


class AgentNode(ConnectionNode):
    """The agent that owns the flows of the upstream on its instance."""

    def __init__(self, settings: NodeSettings) -> None:
        """Initializes the agent and binds its sockets.

        Args:
            settings: Settings of the node, with an upstream and its outlet.
        """
        super().__init__(settings, role=Role.AGENT)
        assert settings.upstream is not None
        assert settings.upstream_outlet is not None
        self.upstream = UpstreamState(
            service_id=settings.service_id,
            heartbeat_interval=settings.heartbeat_interval,
        )
        self.flows = AgentFlows(
            upstream=self.upstream, log=self.log, settings=settings.policies
        )
        self.evacuations = EvacuationRegister()
        outlet = settings.upstream_outlet
        self._upstream_socket = open_datagram_socket(outlet.host, outlet.port)
        self.add_cleanup(self._upstream_socket.close)
        self._upstream_address = (settings.upstream.host, settings.upstream.port)
        self._upstream_probe = UpstreamProbe(
            self._upstream_address,
            spawn=self.spawn,
            on_reachable=lambda: self.loop.call(self._on_upstream_reachable),
            on_refused=lambda started_at: self.loop.call(
                lambda: self._on_process_gone(started_at)
            ),
            clock=self.clock,
            log=self.log,
        )
        self._snapshot_upload = SnapshotUpload(
            member_id=settings.node_id, writer=self._choose_writer, log=self.log
        )
        self.add_cleanup(self._snapshot_upload.close)
        snapshots = FlowSnapshotStore(
            store=self.store,
            member_id=settings.node_id,
            flows=self._collect_snapshot,
            upload=self._snapshot_upload.upload,
            log=self.log,
            put_back=PutBack(
                "flow list",
                order=1,
                spread=self.put_back_spread,
                random=self.random,
                log=self.log,
            ),
        )
        leaves = LeaveRecords(
            store=self.store,
            member_id=settings.node_id,
            clock=self.clock,
            log=self.log,
        )
        self._records = AgentRecords(
            leaves=leaves,
            snapshots=snapshots,
            leaving=lambda: self.upstream.leaving_incarnation,
            clock=self.clock,
        )
        self._upstream_requests = UpstreamRequests(
            service_id=settings.service_id,
            apply=self._apply_upstream_message,
            leave_records=leaves,
            clock=self.clock,
            log=self.log,
        )
        self._heartbeat_schedule = self.new_heartbeat_schedule(
            interval=MIN_HEARTBEAT_INTERVAL_SECONDS
        )
        self._last_heartbeat_at = float("-inf")
        self._is_process_gone = False
        self._verified_incarnation: Incarnation | None = None
        self._upstream_restart_check = UpstreamRestartCheck()
        self._notified_incarnations_by_id: dict[str, int] = {}
        self._shutdown_deadline = float("inf")

    def on_start(self) -> None:
        """Starts the heartbeat server and the task that maintains the flow snapshot."""
        super().on_start()
        if self.node_settings.heartbeats is not None:
            self.serve(self.node_settings.heartbeats, self._upstream_requests.handle)
        self.spawn(
            self._records.run_until,
            self.stopping,
            self._apply_leaves,
            self._apply_snapshot,
        )

    def add_sockets(self) -> None:
        """Adds the socket for the upstream's packets."""
        super().add_sockets()
        self.loop.add_socket(self._upstream_socket, self._on_upstream_datagram)

    @property
    def is_ready(self) -> bool:
        """Whether the upstream accepts new flows."""
        return not self.is_shutting_down and self.upstream.accepts(now=self.clock())

    @property
    def load(self) -> Load:
        """Load of the upstream, from its flows."""
        return self.flows.load

    @property
    def members_prefix(self) -> str:
        """Key prefix of the balancers' entries."""
        return role_prefix(Role.BALANCER)

    def is_relevant_member(self, member: Member) -> bool:
        """Returns whether a member is a balancer, the only peers of agents.

        Limits the traffic when all nodes start: most pairs of a fleet are agents, and
        a hello with its reply is 0.7 KB.
        """
        return member.role is Role.BALANCER

    def begin_shutdown(self) -> None:
        """Refuses new flows and ends the process once no request is running."""
        now = self.clock()
        self._shutdown_deadline = now
        self.flows.is_draining = True
        if self.upstream.is_gone:
            self.perform(self.flows.on_upstream_gone(now=now))
        else:
            self._shutdown_deadline += MAX_SHUTDOWN_SECONDS
        self._update_member(now)
        self.send_status(self.fleet.balancers())

    def on_message(
        self, message: PeerMessage, source: tuple[str, int], now: float
    ) -> Iterable[Action]:
        """Handles a caller's packet, an owner query or an operator setting."""
        if isinstance(message, Evacuations):
            return self._on_evacuations(message, source, now=now)
        if isinstance(message, WarmUpRate):
            self.flows.warm_up.rate = message.rate
            return ()
        if isinstance(message, ServicePolicy):
            self._on_service_policy(message, source)
            return ()
        if isinstance(message, OwnerQuery):
            return self.flows.on_owner_query(message, source, now=now)
        if not isinstance(message, Forward):
            return ()
        segment = decode_from_caller(message.datagram)
        if segment is None:
            return ()
        actions = self.flows.on_forward(message, segment, source, now=now)
        if self.flows.is_evacuated and message.purpose is Purpose.OPEN:
            # Updates a balancer with an older revision. One with a newer revision
            # replies with it.
            current = encode_evacuations_message(self.evacuations.current)
            actions.append(ToPeer(source, current))
        return actions

    def _on_service_policy(
        self, policy: ServicePolicy, source: tuple[str, int]
    ) -> None:
        recipients = self.flows.report_recipients
        if policy.wants_reports:
            recipients.add(source)
        else:
            recipients.discard(source)
        if policy != self.flows.policy:
            self.log.fact(
                "service policy",
                source=source[0],
                max_connections=policy.max_connections,
                admission=policy.uses_admission,
                reports=policy.wants_reports,
                receipt=policy.receives_without_slot,
            )
            self.flows.policy = policy

    def send_heartbeats(self, due: HeartbeatRound, load: Load | None = None) -> None:
        """Sends heartbeats, with a load report to balancers that requested it."""
        recipients = self.flows.report_recipients
        plain = [peer for peer in due.peers if peer.address not in recipients]
        reported = [peer for peer in due.peers if peer.address in recipients]
        super().send_heartbeats(attrs.evolve(due, peers=plain))
        if reported:
            load = attrs.evolve(self.load, report=self.flows.load_report)
            super().send_heartbeats(attrs.evolve(due, peers=reported), load=load)

    def _on_evacuations(
        self, evacuations: Evacuations, source: tuple[str, int], *, now: float
    ) -> Iterable[Action]:
        replies: list[Action] = []
        if self.evacuations.supersedes(evacuations):
            current = encode_evacuations_message(self.evacuations.current)
            replies = [ToPeer(source, current)]
        self.evacuations.update(evacuations)
        is_evacuated = self.evacuations.is_evacuated(self.member.failure_domain)
        if is_evacuated == self.flows.is_evacuated:
            return replies
        self.flows.is_evacuated = is_evacuated
        if not is_evacuated:
            # The upstream may have become cold since its last heartbeat.
            self.upstream.presume_cold(now=now)
        self.log.fact(
            "evacuated" if is_evacuated else "evacuation ended",
            revision=evacuations.revision,
            source=source[0],
            flows=len(self.flows),
        )
        return replies

    def on_due(self, now: float) -> float:
        """Sends due heartbeats to balancers and checks the upstream."""
        self.perform(self.flows.tick(now=now))
        self._update_member(now)
        if now >= self._heartbeat_schedule.next_due:
            for heartbeat_round in self._heartbeat_schedule.due(
                self.fleet.balancers(), now=now
            ):
                self.send_heartbeats(heartbeat_round)
        due = self._heartbeat_schedule.next_due
        if not self.is_shutting_down:
            self._probe_if_late(now)
            return min(due, now + CHECK_INTERVAL_SECONDS)
        if now >= self._shutdown_deadline or not self.flows.load.running:
            self.stopping.set()
        return min(due, now + SHUTDOWN_CHECK_INTERVAL_SECONDS)

    def send_to_upstream(self, datagram: bytes) -> None:
        """Sends a packet to the upstream."""
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
        self._on_upstream_reachable()
        self.perform(self.flows.on_upstream_segment(segment, now=now))

    def _apply_upstream_message(self, message: UpstreamMessage) -> Future[bool]:
        return self.loop.call(lambda: self._on_upstream_message(message))

    def _on_upstream_message(self, message: UpstreamMessage) -> bool:
        """Applies a message; returns whether it may be acknowledged."""
        now = self.clock()
        if isinstance(message, Deregistration):
            is_current = self.upstream.on_deregistration(message.incarnation)
            self.log.fact(
                "upstream ends",
                upstream=message.incarnation.upstream_id,
                started_ms=message.incarnation.started_ms,
                now=is_current,
                leaving_seconds=self._leaving_seconds(now),
                leaving_heartbeats=self.upstream.leaving_heartbeats,
            )
            self._update_member(now)
            return True
        is_new_leave = message.is_leaving and not self.upstream.is_leaving
        if is_new_leave and self.is_shutting_down:
            # The next process would not know of the leave, and accept new flows. The
            # upstream repeats the heartbeat.
            self.log.fact("leave not acknowledged", sequence=message.sequence)
            return False
        self._on_heartbeat(message, now)
        return True

    def _on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        effect = self.upstream.on_heartbeat(heartbeat, now=now)
        if effect is HeartbeatEffect.IGNORED:
            self.log.decision(
                "heartbeat ignored",
                upstream=heartbeat.incarnation.upstream_id,
                started_ms=heartbeat.incarnation.started_ms,
                service=heartbeat.service_id,
                sequence=heartbeat.sequence,
                present_started_ms=self._current_started_ms,
            )
            return
        self._last_heartbeat_at = now
        self._is_process_gone = False
        if effect is HeartbeatEffect.NONE:
            return
        self.log.fact(
            "upstream",
            upstream=heartbeat.incarnation.upstream_id,
            started_ms=heartbeat.incarnation.started_ms,
            sequence=heartbeat.sequence,
            leaving=heartbeat.is_leaving,
            effect=effect.name.lower(),
        )
        self._update_member(now)
        self._apply_restart_check(self._upstream_restart_check.on_heartbeat(heartbeat))
        if effect is HeartbeatEffect.REPLACED:
            # This process tracks all flows of the new incarnation. The next process
            # must not apply a snapshot of an earlier incarnation to it.
            self.flows.mark_all_known()
            self._records.write_now()
        if self.upstream.incarnation != self._verified_incarnation:
            # Verifies all flows at once. The new incarnation returns the flows of the
            # previous one, which are reset; its own flows remain.
            self._verified_incarnation = self.upstream.incarnation
            self.perform(self.flows.verify_all())

    def _apply_restart_check(self, is_new: bool) -> None:
        if is_new:
            self.log.fact("upstream is new", upstream=self.upstream.upstream_id)
            self.flows.mark_all_known()

    def _leaving_seconds(self, now: float) -> float | None:
        since = self.upstream.leaving_since
        return round(now - since, 3) if since is not None else None

    @property
    def _current_started_ms(self) -> int | None:
        return (
            self.upstream.incarnation.started_ms if self.upstream.incarnation else None
        )

    def _apply_leaves(self, leaving: frozenset[Incarnation]) -> None:
        self.loop.call(lambda: self._on_leaves_read(leaving))

    def _on_leaves_read(self, leaving: frozenset[Incarnation]) -> None:
        now = self.clock()
        self.upstream.on_leaves_read(leaving, now=now)
        self.log.fact("leaves read", leaves=len(leaving))
        self._update_member(now)

    def _apply_snapshot(self, snapshot: FlowSnapshot) -> None:
        peer_port = self.node_settings.peer_port
        flows = [decode_row(row, peer_port=peer_port) for row in snapshot.packets]
        readable = [flow for flow in flows if flow is not None]
        if len(readable) < len(flows):
            self.log.fact("flow list unreadable", rows=len(flows) - len(readable))
        self.loop.call(lambda: self._restore(readable, snapshot))

    def _restore(self, flows: list[RestoredFlow], snapshot: FlowSnapshot) -> None:
        now = self.clock()
        if snapshot.is_leaving and snapshot.incarnation is not None:
            # Recorded by an older version of this agent.
            self.upstream.on_leaves_read(frozenset({snapshot.incarnation}), now=now)
            self._update_member(now)
        self.perform(self.flows.restore(flows, now=now))
        self._apply_restart_check(
            self._upstream_restart_check.on_snapshot_read(snapshot.incarnation)
        )
        self.log.fact(
            "flows restored",
            flows=len(flows),
            leaving=snapshot.is_leaving,
            upstream=snapshot.incarnation.upstream_id if snapshot.incarnation else "",
        )
        # Balancers whose status arrived before the snapshot are notified now.
        self._notified_incarnations_by_id.clear()
        if self.upstream.can_verify_flows(now=now):
            self._verified_incarnation = self.upstream.incarnation
            self.perform(self.flows.verify_all())

    def _choose_writer(self) -> Endpoint | None:
        """Returns the endpoint of the balancer that writes this agent's snapshot."""

        def choose() -> Peer | None:
            domain = self.member.failure_domain
            local_balancers = [
                peer
                for peer in self.fleet.balancers()
                if peer.member.failure_domain == domain
            ]
            key = xxhash.xxh3_64_intdigest(self.member.member_id.encode())
            return choose_writer(key, local_balancers, now=self.clock())

        try:
            writer = self.loop.call(choose).result(LOOP_CALL_TIMEOUT_SECONDS)
        except TimeoutError:
            # The event loop is stalled; the agent writes the snapshot itself.
            return None
        return writer.member.control if writer is not None else None

    def _collect_snapshot(self) -> FlowSnapshot:
        def collect() -> FlowSnapshot:
            flows = self.flows.long_lived_flows(now=self.clock())
            rows = tuple(encode_row(flow) for flow in flows)
            return FlowSnapshot(rows, self.upstream.incarnation)

        return self.loop.call(collect).result(LOOP_CALL_TIMEOUT_SECONDS)

    def on_peer_status(self, peer: Peer, now: float) -> Iterable[Action]:
        """Announces to each incarnation of a balancer the flows that it forwards."""
        member = peer.member
        notified = self._notified_incarnations_by_id.get(member.member_id)
        if member.role is not Role.BALANCER or notified == member.incarnation:
            return ()
        self._notified_incarnations_by_id[member.member_id] = member.incarnation
        flows = self.flows.flows_via(peer.address)
        if flows:
            self.log.decision("owner told", peer=member.member_id, flows=len(flows))
        messages = encode_ownership_announcements(self.member.member_id, flows)
        return [ToPeer(peer.address, message) for message in messages]

    def _update_member(self, now: float) -> None:
        state = self.upstream.state(now=now)
        if self.is_shutting_down:
            state = self._state_of_shutdown
        weight = self.upstream.weight(now=now)
        if self.change_member(state=state, weight=weight, slots=self.upstream.slots):
            self.send_status(self.fleet.balancers())

    @property
    def _state_of_shutdown(self) -> MemberState:
        if self.upstream.is_gone:
            return MemberState.GONE
        # Balancers await the next process of an agent that stops with open flows.
        return MemberState.DRAINING if len(self.flows) else MemberState.JOINING

    def _probe_if_late(self, now: float) -> None:
        """Probes the upstream's process while its heartbeat is overdue.

        A port without a listener proves that the process has ended, so that its flows
        can be reset and callers do not wait for a crashed upstream. An upstream that
        accepts the connection gets flows before its next heartbeat, so that it is not
        idle while its agent has just started.
        """
        late_at = self._last_heartbeat_at + self.node_settings.heartbeat_interval
        if now <= late_at + LATE_HEARTBEAT_SECONDS:
            return
        if self.upstream.incarnation and not self.flows.is_awaiting_upstream:
            return
        self._upstream_probe.start_if_due(now=now)

    def _on_upstream_reachable(self) -> None:
        if self.upstream.incarnation:
            return
        now = self.clock()
        self._is_process_gone = False
        if self.upstream.on_reachable(now=now):
            self.log.fact("upstream answers", service=self.upstream.service_id)
            self._update_member(now)
            self.perform(self.flows.verify_all())

    def on_stop(self) -> None:
        """Deregisters the node if its upstream has deregistered."""
        super().on_stop()
        self._records.write_now()
        if self.upstream.is_gone:
            self.deregister()
        elif self.member.state is MemberState.DRAINING:
            self.update_entry()

    def _on_process_gone(self, probed_at: float) -> None:
        if self.flows.upstream_last_seen_at >= probed_at:
            # The upstream has sent a packet since, so its process is running.
            self.log.fact(
                "upstream probe contradicted", upstream=self.upstream.upstream_id
            )
            return
        if not self._is_process_gone:
            self._is_process_gone = True
            self.upstream.on_process_gone()
            self.log.fact("upstream process gone", upstream=self.upstream.upstream_id)
        self.perform(self.flows.on_upstream_gone(now=self.clock()))
