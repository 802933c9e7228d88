"""The base class of the nodes for connection flows, balancers and agents."""

from __future__ import annotations

import signal
from random import Random
from typing import TYPE_CHECKING

import attrs

from siskinshift.connections.egress.scheduled_node import ScheduledNode
from siskinshift.connections.fleet import HELLO_INTERVAL_SECONDS
from siskinshift.connections.fleet import Fleet
from siskinshift.connections.heartbeat_schedule import HeartbeatSchedule
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_codec import encode_known_hosts
from siskinshift.connections.peer_codec import encode_peer_heartbeat
from siskinshift.connections.peer_codec import encode_status
from siskinshift.connections.peer_discovery import PeerDiscovery
from siskinshift.connections.peer_messages import KnownHosts
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import PeerHeartbeat
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.put_back import spread_seconds
from siskinshift.connections.registration import MEMBERS_PREFIX
from siskinshift.connections.registration import Registration
from siskinshift.core.clocks import unix_milliseconds
from siskinshift.kv.generations import GenerationTracker
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.platform.heartbeats import READINESS_PATH
from siskinshift.platform.settings import load_node_settings
from siskinshift.platform.settings import settings_path
from siskinshift.platform.store import PlatformStore
from siskinshift.runtime.http_server import HttpServer
from siskinshift.runtime.http_server import ServerResponse
from siskinshift.settings.exceptions import SettingsError


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.actions import Action
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.heartbeat_schedule import HeartbeatRound
    from siskinshift.connections.node_settings import NodeSettings
    from siskinshift.connections.peer_messages import PeerMessage
    from siskinshift.messages.core import Role
    from siskinshift.runtime.http_server import Handler
    from siskinshift.runtime.http_server import HttpRequest


# Seeds and some of the peers are queried until all peers are known, and once after the
# first read of the store. Without a read the node waits for this long first, since the
# seeds may be starting as well.
SEED_DELAY_SECONDS = 0.3
# Once all peers are known, lists of hosts that arrive later than this after the start
# are ignored: the node has stopped querying, so the sender is not a queried peer.
ACCEPT_HOSTS_SECONDS = 5.0
SEED_INTERVAL_SECONDS = 0.5
MAX_QUERIED_PEERS = 2
REMOVAL_INTERVAL_SECONDS = 1.0
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4"


class ConnectionNode(ScheduledNode):
    """Base of the nodes, with their sockets, peers, registration and life cycle."""

    def __init__(self, settings: NodeSettings, *, role: Role) -> None:
        """Initializes the node and binds its sockets.

        Args:
            settings: Settings of the node.
            role: Role of the node: balancer or agent.
        """
        super().__init__(settings)
        self.random = Random()
        self.add_cleanup(self.log.write)
        self.spawn(self.log.write_until, self.stopping)
        own = Endpoint(settings.host, settings.peer_port)
        self.member = Member(
            member_id=settings.node_id,
            role=role,
            incarnation=unix_milliseconds(),
            version=1,
            state=MemberState.JOINING,
            region=settings.region,
            failure_domain=settings.failure_domain,
            control=own,
            data=own,
            upstream_class=settings.service_id,
        )
        self.fleet = Fleet(self.member, now=self.clock())
        self._discovery = PeerDiscovery(self.fleet, own=self.member)
        self.generations = GenerationTracker(log=self.log)
        self.store = PlatformStore(
            settings.store, stopping=self.stopping, generations=self.generations
        )
        self.add_cleanup(self.store.close)
        self._registration = Registration(
            store=self.store,
            own=lambda: self.member,
            prefix=self.members_prefix,
            has_unresponsive=lambda: self._has_unresponsive,
            on_members=self._on_registered,
            random=self.random,
            log=self.log,
            spread=self.put_back_spread,
        )
        self._has_unresponsive = False
        self._query_seeds_at = self.clock() + SEED_DELAY_SECONDS
        self._has_queried = False
        self._accept_hosts_until = self.clock() + ACCEPT_HOSTS_SECONDS
        self._removed_at = float("-inf")
        self._hello_sent_at = float("-inf")
        self.is_shutting_down = False
        self._is_stop_requested = False

    def on_start(self) -> None:
        """Starts the HTTP servers, the event handlers and the registration."""
        self.log.fact(
            "started", role=self.member.role.value, incarnation=self.member.incarnation
        )
        self.add_sockets()
        own = Endpoint(self.node_settings.host, self.node_settings.peer_port)
        self.serve(own, self.handle_peer_request)
        if self.node_settings.readiness is not None:
            self.serve(self.node_settings.readiness, self._handle_readiness_request)
        self.spawn(self._maintain_registration)

    def add_sockets(self) -> None:
        """Adds the node's sockets and timers to its event loop."""
        self.loop.add_socket(self.peer_socket, self._on_peer_datagram, read_last=True)
        self.loop.add_timer(self._tick)

    def run(self) -> None:
        """Runs the event loop on the calling thread until the application stops."""
        signal.signal(signal.SIGTERM, lambda *_: self.request_stop())
        signal.signal(signal.SIGINT, lambda *_: self.request_stop())
        signal.signal(signal.SIGHUP, lambda *_: self.loop.call(self.on_reload))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        self.loop.run_until(self.stopping)

    def request_stop(self) -> None:
        """Requests the planned shutdown; may be called in a signal handler."""
        self._is_stop_requested = True
        self.loop.call(self._on_stop_signal)

    def serve(self, endpoint: Endpoint, handler: Handler) -> None:
        """Serves HTTP at an endpoint.

        Args:
            endpoint: Host and port to listen on.
            handler: Handler of the requests.
        """
        server = HttpServer(self, endpoint.host, endpoint.port, handler, log=self.log)
        self.add_cleanup(server.close)
        server.start()

    def on_stop(self) -> None:
        """Sends what waits and logs the stop; threads end when `stopping` is set."""
        self.flush_egress()
        self.log.fact("stopped", dropped_lines_total=self.log.dropped)

    def on_task_failed(self, error: BaseException) -> None:
        """Logs the error, since a node whose task failed still appears healthy."""
        self.log.fact("task failed", error=repr(error))

    def put_back_spread(self) -> float:
        """Returns the time over which all nodes put entries back, seconds."""
        return spread_seconds(len(self.fleet.balancers()))

    def update_entry(self) -> None:
        """Writes the node's present record to the store."""
        self._registration.update_entry()

    def deregister(self) -> None:
        """Removes the node's entry from the store, so that peers do not wait for it."""
        self._registration.deregister()

    @property
    def is_ready(self) -> bool:
        """Whether the node reports to the platform that it is ready."""
        raise NotImplementedError

    @property
    def load(self) -> Load:
        """The load that the node reports to its peers."""
        return Load()

    @property
    def configuration_version(self) -> int:
        """Version of the newest configuration that the node holds; 0 for none."""
        return 0

    def begin_shutdown(self) -> None:
        """Hook: begins the shutdown; sets `stopping` when the process may end."""
        raise NotImplementedError

    def on_reload(self) -> None:
        """Reloads the settings; an invalid file changes nothing.

        Only the seeds are applied. Names and addresses are in use by the sockets and
        the node's entry, so a change of them is logged and needs a restart.
        """
        try:
            new = load_node_settings(settings_path())
        except SettingsError as error:
            self.log.fact("settings refused", error=str(error))
            return
        old = self.node_settings
        self.node_settings = attrs.evolve(old, seed_hosts=new.seed_hosts)
        self.log.fact(
            "settings read again",
            seeds_changed=new.seed_hosts != old.seed_hosts,
            needs_restart=new != self.node_settings,
        )

    def on_message(
        self, message: PeerMessage, source: tuple[str, int], now: float
    ) -> Iterable[Action]:
        """Hook: handles a message about a flow."""
        raise NotImplementedError

    def on_peer_status(self, peer: Peer, now: float) -> Iterable[Action]:
        """Hook: handles a status or heartbeat of a peer."""
        return ()

    def on_peer_restarted(
        self, peer: Peer, last_seen_at: float, now: float
    ) -> Iterable[Action]:
        """Hook: handles the first status of a peer's new process."""
        return ()

    def on_due(self, now: float) -> float:
        """Hook: runs the tasks that are due; returns the time of the next one."""
        raise NotImplementedError

    def change_member(self, *, state: MemberState, weight: int, slots: int) -> bool:
        """Changes the node's own record.

        Args:
            state: New state.
            weight: New weight.
            slots: New slots.

        Returns:
            Whether the record has changed.
        """
        changed = attrs.evolve(self.member, state=state, weight=weight, slots=slots)
        if changed == self.member:
            return False
        self.member = attrs.evolve(changed, version=self.member.version + 1)
        self.log.fact("state", state=state.value, weight=weight, slots=slots)
        return True

    def send_status(self, peers: Iterable[Peer], *, wants_status: bool = False) -> None:
        """Sends the node's status to peers.

        Args:
            peers: Peers that are sent the status.
            wants_status: Whether they should reply with their own status.
        """
        datagram = self._own_status(wants_status=wants_status)
        for peer in peers:
            self.send_datagram(datagram, peer.address)

    def send_heartbeats(self, due: HeartbeatRound, load: Load | None = None) -> None:
        """Sends heartbeats, which confirm the record that the peers already hold.

        Args:
            due: Peers of this round, and the time until their next heartbeat.
            load: Load to report; by default the node's load without a report.
        """
        if not due.peers:
            return
        datagram = encode_peer_heartbeat(
            PeerHeartbeat(
                self.member.incarnation,
                self.member.version,
                load or self.load,
                self.configuration_version,
                due.next_heartbeat_within,
            )
        )
        for peer in due.peers:
            self.send_datagram(datagram, peer.address)

    def new_heartbeat_schedule(self, *, interval: float) -> HeartbeatSchedule:
        """Creates a schedule of heartbeats to peers of one role.

        Args:
            interval: Seconds between two heartbeats to one peer in a small fleet.
        """
        domain = self.member.failure_domain
        return HeartbeatSchedule(failure_domain=domain, interval=interval)

    def _own_status(
        self, *, wants_status: bool = False, wants_members: bool = False
    ) -> bytes:
        return encode_status(
            Status(
                self.member,
                self.load,
                self.configuration_version,
                wants_status=wants_status,
                wants_members=wants_members,
            )
        )

    def _on_peer_datagram(
        self, datagram: bytes, source: tuple[str, int], now: float
    ) -> None:
        message = decode_peer_message(datagram)
        if message is None:
            self.log.decision("message unreadable", source=source[0])
        elif isinstance(message, Status):
            self._on_status(message, source, now)
        elif isinstance(message, PeerHeartbeat):
            self._on_peer_heartbeat(message, source, now)
        elif isinstance(message, KnownHosts):
            self._on_known_hosts(message, source[0], now)
        else:
            self.perform(self.on_message(message, source, now))

    def _on_status(self, status: Status, source: tuple[str, int], now: float) -> None:
        previous = self.fleet.peers_by_id.get(status.member.member_id)
        incarnation = previous.member.incarnation if previous else 0
        last_seen_at = previous.last_seen_at if previous else now
        peer = self.fleet.handle_status(status, now=now)
        if peer is None:
            return
        if previous is None:
            self.log.fact("peer found", peer=status.member.member_id, source="itself")
        if status.wants_status:
            self.send_datagram(self._own_status(), source)
        if status.wants_members:
            for known in self._discovery.known_hosts_for(status.member, now=now):
                self.send_datagram(encode_known_hosts(known), source)
        if previous is not None and incarnation != status.member.incarnation:
            self.log.fact("peer restarted", peer=status.member.member_id)
            self.perform(self.on_peer_restarted(peer, last_seen_at, now))
        self.perform(self.on_peer_status(peer, now))

    def _on_peer_heartbeat(
        self, message: PeerHeartbeat, source: tuple[str, int], now: float
    ) -> None:
        peer = self.fleet.peers_by_address.get(source)
        if peer is None or not self.fleet.handle_heartbeat(peer, message, now=now):
            # The peer is unknown or its record here is outdated: request its full
            # status.
            self.send_datagram(self._own_status(wants_status=True), source)
            return
        self.perform(self.on_peer_status(peer, now))

    def _send_hello(self, peers: list[Peer]) -> None:
        for peer in peers:
            self.log.fact("peer found", peer=peer.member.member_id, source="others")
        self.send_status(peers, wants_status=True)

    @property
    def members_prefix(self) -> str:
        """Prefix of the store entries that this node has to read."""
        return MEMBERS_PREFIX

    def is_relevant_member(self, member: Member) -> bool:
        """Returns whether this node needs a member that it read from the store."""
        return True

    def _on_registered(self, members: list[Member]) -> None:
        relevant = [member for member in members if self.is_relevant_member(member)]

        def apply() -> None:
            self._send_hello(self.fleet.apply_registrations(relevant, now=self.clock()))
            if not self._has_queried:
                self._query_seeds(self.clock())

        self.loop.call(apply)

    def _on_known_hosts(self, known: KnownHosts, sender: str, now: float) -> None:
        if now > self._accept_hosts_until and self.fleet.is_complete(now=now):
            # No query is pending any more.
            return
        if not self._discovery.add_hosts(known, sender, now=now):
            self.log.decision("hosts refused", source=sender, hosts=len(known.hosts))
            return
        self._send_hello_to_hosts(now)

    def _send_hello_to_hosts(self, now: float) -> None:
        datagram = self._own_status(wants_status=True)
        for host in self._discovery.hosts_to_contact(now=now):
            self.send_datagram(datagram, (host, self.node_settings.peer_port))

    def _tick(self, now: float) -> float:
        if now >= self._query_seeds_at:
            self._query_seeds(now)
        if now - self._hello_sent_at >= HELLO_INTERVAL_SECONDS:
            self._hello_sent_at = now
            self.send_status(self.fleet.unconfirmed(now=now), wants_status=True)
            self._send_hello_to_hosts(now)
        if now - self._removed_at >= REMOVAL_INTERVAL_SECONDS:
            self._removed_at = now
            for peer in self.fleet.remove_unresponsive(now=now):
                self.log.fact("peer forgotten", peer=peer.member.member_id)
            self._has_unresponsive = self.fleet.has_unresponsive(now=now)
        due = min(self._removed_at + REMOVAL_INTERVAL_SECONDS, self.on_due(now))
        due = min(due, self._hello_sent_at + HELLO_INTERVAL_SECONDS)
        return min(due, self._query_seeds_at)

    def _query_seeds(self, now: float) -> None:
        """Queries seeds and some known peers for other hosts until all are known.

        Without this, nodes that start during an outage of the store would not find each
        other until it is back, and a balancer would treat agents that it has not
        discovered as nonexistent. It also finds a running node whose entry the store
        has lost, since the node's peers still list it.
        """
        if self._discovery.is_finished(now=now):
            self.fleet.mark_complete()
        if self._has_queried and self.fleet.is_complete(now=now):
            self._query_seeds_at = float("inf")
            return
        self._has_queried = True
        self._query_seeds_at = now + SEED_INTERVAL_SECONDS
        known_hosts = [peer.address[0] for peer in self.fleet.balancers()]
        queried = self.random.sample(
            known_hosts, min(MAX_QUERIED_PEERS, len(known_hosts))
        )
        # All nodes have the same seeds, so no more load is put on them once all peers
        # are known, as after a read of the store.
        has_all_peers = self.fleet.is_complete(now=now)
        seeds = () if has_all_peers else self.node_settings.seed_hosts
        datagram = self._own_status(wants_status=True, wants_members=True)
        for host in {*seeds, *queried}:
            if host != self.node_settings.host:
                self.send_datagram(datagram, (host, self.node_settings.peer_port))

    def _maintain_registration(self) -> None:
        while not self.stopping.is_set():
            self.stopping.wait(self._registration.step(now=self.clock()))

    def handle_peer_request(self, request: HttpRequest) -> ServerResponse:
        """Handles HTTP requests of peers and of the metrics collector.

        Args:
            request: The request.

        Returns:
            The response.
        """
        if request.path != METRICS_PATH:
            return ServerResponse(404)
        metrics = self.log.metrics
        self.export_egress(metrics)
        metrics.set_gauge("flows", self.load.flows)
        metrics.set_gauge("requests_running", self.load.running)
        metrics.set_gauge("peers", len(self.fleet.peers_by_id))
        metrics.set_gauge("configuration_version", self.configuration_version)
        metrics.set_gauge("log_lines_dropped", self.log.dropped)
        return ServerResponse(200, metrics.render().encode(), METRICS_TYPE)

    def _handle_readiness_request(self, request: HttpRequest) -> ServerResponse:
        if request.path != READINESS_PATH:
            return ServerResponse(404)
        # The event loop may be stalled and not have started the shutdown yet.
        is_unhandled = self._is_stop_requested and not self.is_shutting_down
        is_ready = self.is_ready and not is_unhandled
        return ServerResponse(200 if is_ready else 503)

    def _on_stop_signal(self) -> None:
        if self.is_shutting_down:
            return
        self.is_shutting_down = True
        self.log.fact("leaving")
        self.begin_shutdown()
