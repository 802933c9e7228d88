"""The balancer node: receives callers' packets and forwards them to agents."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from siskinshift.connections.balancer_flows import BalancerFlows
from siskinshift.connections.configuration_catch_up import CatchUp
from siskinshift.connections.configuration_follower import STORE_SOURCE
from siskinshift.connections.configuration_follower import ConfigurationFollower
from siskinshift.connections.configuration_follower import ReceivedConfiguration
from siskinshift.connections.configuration_start import ConfigurationStart
from siskinshift.connections.evacuation_dissemination import EvacuationDissemination
from siskinshift.connections.evacuation_reader import EvacuationReader
from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.evacuations import encode_evacuations
from siskinshift.connections.evacuations import evacuations_from_document
from siskinshift.connections.graceful_shutdown import GracefulShutdown
from siskinshift.connections.health.outlier_detector import OutlierDetector
from siskinshift.connections.load_policies import NO_POLICIES
from siskinshift.connections.load_policies import resolve_policies
from siskinshift.connections.load_policies import routes_with_kinds
from siskinshift.connections.node import ConnectionNode
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import OwnershipAnnouncement
from siskinshift.connections.placement import AgentPlacement
from siskinshift.connections.policy_dissemination import PolicyDissemination
from siskinshift.connections.snapshot_requests import SNAPSHOT_PATH
from siskinshift.connections.snapshot_requests import decode_update
from siskinshift.connections.snapshot_requests import encode_result
from siskinshift.connections.snapshot_writer import WRITE_TIMEOUT_SECONDS
from siskinshift.connections.snapshot_writer import SnapshotWriter
from siskinshift.connections.urgencies import routes_with_fitting_urgencies
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError
from siskinshift.kv.generations import UNKNOWN_GENERATION
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.platform.configuration import CONFIGURATION_KEY
from siskinshift.platform.configuration import OPERATOR_KEY_PREFIX
from siskinshift.platform.configuration import decode_configuration
from siskinshift.platform.evacuations import EVACUATIONS_PREFIX
from siskinshift.platform.evacuations import decode_evacuated_domain
from siskinshift.platform.packets import decode_from_caller
from siskinshift.platform.store import PlatformStore
from siskinshift.runtime.event_loop import open_datagram_socket
from siskinshift.runtime.http_client import HttpClient
from siskinshift.runtime.http_server import ServerResponse


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.actions import Action
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.load_policies import LoadPolicies
    from siskinshift.connections.node_settings import NodeSettings
    from siskinshift.connections.peer_messages import PeerMessage
    from siskinshift.connections.routes import RouteTable
    from siskinshift.messages.core import Endpoint
    from siskinshift.runtime.http_server import HttpRequest


CONFIGURATION_PATH = "/configuration"
EVACUATIONS_PATH = "/evacuations"
# Longest member id of an agent, so that the store accepts the key of its flow snapshot.
MAX_MEMBER_ID_LENGTH = 100
# Agents use heartbeats of a balancer only for failure detection, and receive messages
# with each flow.
AGENT_HEARTBEAT_INTERVAL_SECONDS = 5.0
# Heartbeats of balancers announce their configuration version: a balancer rejected by
# the store is out of date for this interval and the time to fetch the configuration.
BALANCER_HEARTBEAT_INTERVAL_SECONDS = 0.5
FETCH_TIMEOUT_SECONDS = 1.0
SHUTDOWN_CHECK_INTERVAL_SECONDS = 0.05
# Interval at which a starting balancer checks whether its peers have replied.
START_CHECK_INTERVAL_SECONDS = 0.02
# Limit of datagrams in which a terminating balancer announces the owners of its flows:
# one for each agent and successor. 400 of about 150 bytes occupy a link of 7 Mbit/s for
# 70 ms; owners of the remaining flows are looked up.
MAX_OWNERSHIP_ANNOUNCEMENTS = 400


class BalancerNode(ConnectionNode):
    """Receives callers' packets and forwards each to an agent."""

    def __init__(self, settings: NodeSettings) -> None:
        """Initializes the balancer and binds its sockets.

        Args:
            settings: Settings of the node.
        """
        super().__init__(settings, role=Role.BALANCER)
        self.evacuations = EvacuationRegister()
        self._dissemination = EvacuationDissemination(
            self.evacuations, member_id=settings.node_id
        )
        self.policies = NO_POLICIES
        self._policy_dissemination = PolicyDissemination()
        self.placement = AgentPlacement(
            failure_domain=settings.failure_domain,
            evacuations=self.evacuations,
            random=self.random,
            settings=settings.policies,
            log=self.log,
        )
        self._flows = BalancerFlows(
            fleet=self.fleet,
            placement=self.placement,
            failure_domain=settings.failure_domain,
            link_bytes_per_second=settings.link_bytes_per_second,
            log=self.log,
        )
        self._outlier_detector = OutlierDetector(
            settings.policies, evacuations=self.evacuations, log=self.log
        )
        caller_packets = settings.caller_packets
        self._caller_socket = open_datagram_socket(
            caller_packets.host, caller_packets.port
        )
        self.add_cleanup(self._caller_socket.close)
        # Separate connections and a separate circuit breaker: failures to read the
        # configuration must not delay lease renewal or reading the members.
        configuration_store = PlatformStore(
            settings.store, stopping=self.stopping, generations=self.generations
        )
        self.add_cleanup(configuration_store.close)
        self._follower = ConfigurationFollower(
            store=configuration_store,
            prefix=OPERATOR_KEY_PREFIX,
            key=CONFIGURATION_KEY,
            evacuations=EvacuationReader(
                prefix=EVACUATIONS_PREFIX,
                decode_domain=decode_evacuated_domain,
                on_evacuations=lambda evacuations: self.loop.call(
                    lambda: self.evacuate(evacuations, source=STORE_SOURCE)
                ),
                log=self.log,
            ),
            on_configuration=self._apply_received,
            random=self.random,
            log=self.log,
        )
        self._snapshot_writer = SnapshotWriter(
            store=self.store, clock=self.clock, log=self.log
        )
        self._configuration_value = b""
        self._peer_client: HttpClient | None = None
        self._is_fetching = False
        self._catch_up = CatchUp()
        self._start = ConfigurationStart[tuple["RouteTable", ReceivedConfiguration]](
            self.fleet
        )
        self._agent_schedule = self.new_heartbeat_schedule(
            interval=AGENT_HEARTBEAT_INTERVAL_SECONDS
        )
        self._balancer_schedule = self.new_heartbeat_schedule(
            interval=BALANCER_HEARTBEAT_INTERVAL_SECONDS
        )
        self._received_at = self.clock()
        self._graceful_shutdown: GracefulShutdown | None = None

    def on_start(self) -> None:
        """Starts to forward packets, follow the configuration and write snapshots."""
        super().on_start()
        self.add_cleanup(self._follower.stop)
        self.generations.add_listener(self._follower.read_again)
        self.add_cleanup(self._cancel_fetch)
        self.spawn(self._follower.follow_until, self.stopping)
        self.spawn(self._snapshot_writer.write_until, self.stopping)

    def add_sockets(self) -> None:
        """Adds the socket for callers' packets."""
        super().add_sockets()
        self.loop.add_socket(self._caller_socket, self._on_caller_datagram)

    @property
    def is_ready(self) -> bool:
        """Whether it can place flows: it has a configuration and one ready agent."""
        return self.member.state is MemberState.READY

    @property
    def _can_place_flows(self) -> bool:
        if self._flows.routes is None:
            return False
        states = (agent.member.state for agent in self.fleet.agents())
        return MemberState.READY in states

    @property
    def configuration_version(self) -> int:
        """Version of the current configuration; 0 before the first."""
        return self._flows.routes.version if self._flows.routes else 0

    def begin_shutdown(self) -> None:
        """Starts the shutdown; see `GracefulShutdown`."""
        self._graceful_shutdown = GracefulShutdown(
            started_at=self.clock(),
            leave_seconds=self.node_settings.leave_seconds,
        )
        self._advance_shutdown(self.clock())
        self._update_state()
        if not self._graceful_shutdown.reports_not_ready:
            self._log_shutdown("shutdown waits", self._graceful_shutdown)

    def on_message(
        self, message: PeerMessage, source: tuple[str, int], now: float
    ) -> Iterable[Action]:
        """Handles verdicts, announcements of owners and evacuations."""
        if isinstance(message, OwnershipAnnouncement):
            return self._flows.on_ownership_announcement(message, now=now)
        if isinstance(message, Evacuations):
            self.evacuate(message, source=source[0])
            return self._dissemination.reply_to(message, source)
        agent = self.fleet.peers_by_address.get(source)
        if agent is None or not isinstance(message, FlowVerdict):
            return ()
        return self._flows.on_verdict(agent, message, now=now)

    def on_peer_status(self, peer: Peer, now: float) -> Iterable[Action]:
        """Handles the status of a peer: a newer configuration or a ready agent."""
        if peer.member.role is Role.BALANCER:
            self._fetch_if_newer(peer, now)
            return ()
        actions: list[Action] = [
            *self._dissemination.on_agent_message(peer),
            *self._policy_dissemination.to_uninformed([peer]),
        ]
        if peer.member.state is MemberState.READY:
            actions += self._flows.retry_held(now=now)
        return actions

    def on_peer_restarted(
        self, peer: Peer, last_seen_at: float, now: float
    ) -> Iterable[Action]:
        """Resends the packets that an agent missed during its restart."""
        if peer.member.role is not Role.AGENT:
            return ()
        return [
            *self._dissemination.on_agent_message(peer),
            *self._policy_dissemination.to_uninformed([peer]),
            *self._flows.on_agent_restarted(peer, last_seen_at=last_seen_at, now=now),
        ]

    def on_due(self, now: float) -> float:
        """Sends heartbeats to peers and handles expired timers of flows."""
        self._continue_after_restore(now)
        self.perform(self._flows.tick(now=now))
        if now >= self._balancer_schedule.next_due:
            for heartbeat_round in self._balancer_schedule.due(
                self.fleet.balancers(), now=now
            ):
                self.send_heartbeats(heartbeat_round)
                self.perform(self._dissemination.to_balancers(heartbeat_round.peers))
        if now >= self._agent_schedule.next_due:
            for heartbeat_round in self._agent_schedule.due(
                self.fleet.agents(), now=now
            ):
                self.send_heartbeats(heartbeat_round)
                self.perform(self._policy_dissemination.to_all(heartbeat_round.peers))
        self._update_state()
        return min(
            self._flows.next_due(),
            self._balancer_schedule.next_due,
            self._agent_schedule.next_due,
            self._advance_shutdown(now),
            now + START_CHECK_INTERVAL_SECONDS
            if self._start.is_holding
            else float("inf"),
        )

    def _continue_after_restore(self, now: float) -> None:
        first = self._start.take(
            is_fetching=self._is_fetching, fetch=self._start_fetch, now=now
        )
        if first is not None:
            self.configure(*first)
        if self.evacuations.settle(now=now):
            self._apply_evacuations(source="hold ended")

    def _update_state(self) -> None:
        state = MemberState.READY if self._can_place_flows else MemberState.JOINING
        if (
            self._graceful_shutdown is not None
            and self._graceful_shutdown.reports_not_ready
        ):
            state = MemberState.DRAINING
        if self.change_member(state=state, weight=self.member.weight, slots=1):
            self.send_status(self.fleet.balancers())

    def _advance_shutdown(self, now: float) -> float:
        if self._graceful_shutdown is None:
            return float("inf")
        peers = [
            peer
            for peer in self.fleet.balancers()
            if peer.member.failure_domain == self.member.failure_domain
        ]
        reported_not_ready = self._graceful_shutdown.reports_not_ready
        if self._graceful_shutdown.advance(
            peers, received_at=self._received_at, now=now
        ):
            self.stopping.set()
        if self._graceful_shutdown.reports_not_ready and not reported_not_ready:
            self._log_shutdown("reports not ready", self._graceful_shutdown)
            self._announce_owners(peers)
        return now + SHUTDOWN_CHECK_INTERVAL_SECONDS

    def _log_shutdown(self, event: str, shutdown: GracefulShutdown) -> None:
        rotation = shutdown.rotation
        self.log.fact(
            event,
            waited=round(self.clock() - shutdown.started_at, 3),
            ready_peers=rotation.ready,
            unavailable_peers=",".join(rotation.unavailable),
            reason="" if rotation.can_spare_one else "too few ready peers",
        )

    def _announce_owners(self, peers: list[Peer]) -> None:
        """Announces the owners of this balancer's flows to its successors.

        Guards against hundreds of simultaneous owner lookups, each among up to all
        agents, on links of a few Mbit/s, when routers move the flows.
        """
        messages = self._flows.encode_owners()
        ready = [peer for peer in peers if peer.member.state is MemberState.READY]
        announcements = [(peer, message) for peer in ready for message in messages]
        for peer, message in announcements[:MAX_OWNERSHIP_ANNOUNCEMENTS]:
            self.send_datagram(message, peer.address)
        self.log.fact(
            "owners told",
            messages=len(messages),
            peers=len(ready),
            all=len(announcements),
        )

    def send_to_upstream(self, datagram: bytes) -> None:
        """Raises an error: a balancer has no upstream."""
        raise AssertionError("a balancer has no upstream")

    def _on_caller_datagram(
        self, datagram: bytes, source: tuple[str, int], now: float
    ) -> None:
        self._received_at = now
        segment = decode_from_caller(datagram)
        if segment is None:
            self.log.decision("packet unreadable", source=source[0])
            return
        self.perform(self._flows.on_segment(segment, now=now))

    def _apply_received(self, received: ReceivedConfiguration) -> None:
        try:
            routes = decode_configuration(received.value)
        except BadMessageError as error:
            # Keeps the current version: an older configuration is better than none.
            self.log.fact(
                "configuration refused", source=received.source, error=str(error)
            )
            return

        def apply() -> None:
            is_first = self._flows.routes is None
            has_generation = self.store.generation != UNKNOWN_GENERATION
            if is_first and has_generation and received.source == STORE_SOURCE:
                self._start.hold(
                    (routes, received), version=routes.version, now=self.clock()
                )
                return
            newer = self._start.release(peer_version=routes.version)
            if newer is not None:
                self.configure(*newer)
            self.configure(routes, received)

        self.loop.call(apply)

    def configure(self, routes: RouteTable, received: ReceivedConfiguration) -> None:
        """Applies a configuration unless it is out of date; runs on the loop's thread.

        Args:
            routes: The configuration.
            received: Its encoded form, for peers that can't read it from the store.
        """
        routes = routes_with_fitting_urgencies(routes)
        policies = resolve_policies(self.node_settings.policies, routes)
        is_newer = self._flows.configure(routes_with_kinds(routes, policies))
        self.log.fact(
            "configuration in force" if is_newer else "configuration held already",
            version=routes.version,
            routes=len(routes.routes_by_address),
            source=received.source,
            bytes=len(received.value),
            seconds=round(received.seconds, 3),
        )
        if not is_newer:
            return
        self._configuration_value = received.value
        self._apply_policies(policies, routes)
        self._balancer_schedule.expedite()
        self.perform(self._flows.process_early_packets(now=self.clock()))

    def _apply_policies(self, policies: LoadPolicies, routes: RouteTable) -> None:
        if policies != self.policies:
            self.log.fact(
                "load policies",
                bulk_scheduling=policies.bulk_scheduling,
                admission=policies.admission,
                outlier_detection=policies.outlier_detection,
                expected_wait=policies.expected_wait,
            )
        detector = self._outlier_detector if policies.outlier_detection else None
        self._flows.outlier_detector = detector
        judged = {
            service_id
            for route in routes.routes_by_address.values()
            for service_id in route.service_ids
        }
        self._outlier_detector.retain(judged if detector is not None else ())
        self.policies = policies
        self.schedule_egress(policies.bulk_scheduling)
        self._flows.is_link_scheduled = policies.bulk_scheduling
        self.placement.apply(policies)
        self._flows.refuses_when_full = policies.admission
        self._policy_dissemination.configure(policies, routes)
        self.perform(self._policy_dissemination.to_uninformed(self.fleet.agents()))

    def evacuate(self, evacuations: Evacuations, *, source: str) -> None:
        """Applies evacuations unless they are out of date; runs on the loop's thread.

        Args:
            evacuations: The evacuated failure domains.
            source: Where they were read: the store or a peer's host.
        """
        if self.evacuations.update(evacuations):
            self._apply_evacuations(source=source)

    def _apply_evacuations(self, *, source: str) -> None:
        current = self.evacuations.current
        self.log.fact(
            "evacuations in force",
            domains=",".join(sorted(current.in_force)),
            revision=current.revision,
            source=source,
        )
        now = self.clock()
        agents, balancers = self.fleet.agents(), self.fleet.balancers()
        self.perform(self._dissemination.on_change(agents, balancers, now=now))
        self._balancer_schedule.expedite()
        self.perform(self._flows.retry_held(now=now))

    def _fetch_if_newer(self, peer: Peer, now: float) -> None:
        is_due = self._catch_up.is_due(
            announced=peer.configuration_version,
            held=max(self.configuration_version, self._start.held_version),
            last_progress_at=self._follower.transfer.last_received_at,
            is_failing=self._follower.is_failing,
            now=now,
        )
        if is_due and not self._is_fetching:
            self._start_fetch(peer)

    def _start_fetch(self, peer: Peer) -> None:
        self._is_fetching = True
        self.spawn(self._fetch, peer.member.member_id, peer.member.control)

    def _fetch(self, peer_id: str, endpoint: Endpoint) -> None:
        self._peer_client = client = HttpClient(
            endpoint.host, endpoint.port, connect_timeout=FETCH_TIMEOUT_SECONDS
        )
        try:
            # Before the configuration, with which the balancer starts placing flows.
            self._fetch_evacuations(client, source=peer_id)
            response = client.request(
                "GET", CONFIGURATION_PATH, timeout=FETCH_TIMEOUT_SECONDS
            )
            if response.status == 200:
                seconds = client.transfer.seconds
                self._apply_received(
                    ReceivedConfiguration(response.body, peer_id, seconds)
                )
        except OSError as error:
            # The watch of the store continues; the peer's next status triggers a retry.
            self.log.fact("configuration fetch failed", peer=peer_id, error=str(error))
        finally:
            client.close()
            # The fetched configuration is applied by an earlier call.
            self.loop.call(self._end_fetch)

    def _end_fetch(self) -> None:
        self._is_fetching = False

    def _fetch_evacuations(self, client: HttpClient, *, source: str) -> None:
        response = client.request(
            "GET", EVACUATIONS_PATH, timeout=FETCH_TIMEOUT_SECONDS
        )
        if response.status != HTTPStatus.OK:
            # The peer runs an older version; the watch of the store continues.
            self.log.fact("no evacuations", peer=source, status=response.status)
            return
        try:
            fetched = evacuations_from_document(parse_object(response.body))
        except BadMessageError as error:
            self.log.fact("evacuations refused", peer=source, error=str(error))
            return
        self.loop.call(lambda: self.evacuate(fetched, source=source))

    def _cancel_fetch(self) -> None:
        if self._peer_client is not None:
            self._peer_client.close()

    def handle_peer_request(self, request: HttpRequest) -> ServerResponse:
        """Serves configuration and evacuations to peers, stores agents' snapshots."""
        if request.path == CONFIGURATION_PATH:
            value = self._configuration_value
            return ServerResponse(200, value) if value else ServerResponse(503)
        current = self.evacuations.current
        self.log.metrics.set_gauge("evacuated_domains", len(current.in_force))
        self.log.metrics.set_gauge("evacuations_revision", current.revision)
        if request.path == EVACUATIONS_PATH:
            return ServerResponse(200, encode_evacuations(current))
        if request.path.startswith(SNAPSHOT_PATH):
            return self._store_flow_snapshot(request)
        return super().handle_peer_request(request)

    def _store_flow_snapshot(self, request: HttpRequest) -> ServerResponse:
        member_id = request.path.removeprefix(SNAPSHOT_PATH)
        if not 0 < len(member_id) <= MAX_MEMBER_ID_LENGTH:
            self.log.decision("flow list refused", reason="name", path=request.path)
            return ServerResponse(400)
        update = decode_update(request.query, request.body)
        write = self._snapshot_writer.submit(member_id, update)
        try:
            return encode_result(write.result(WRITE_TIMEOUT_SECONDS))
        except TimeoutError:
            # The snapshot may still be written; the agent uploads it again.
            return ServerResponse(503)
