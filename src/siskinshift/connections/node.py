"""What balancers and agents of connection flows have in common."""

from __future__ import annotations

import signal
from random import Random
from typing import TYPE_CHECKING

import attrs

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.fleet import GREET_AGAIN_SECONDS
from siskinshift.connections.fleet import Fleet
from siskinshift.connections.heartbeat_schedule import HeartbeatSchedule
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_codec import encode_alive
from siskinshift.connections.peer_codec import encode_known_hosts
from siskinshift.connections.peer_codec import encode_status
from siskinshift.connections.peer_discovery import PeerDiscovery
from siskinshift.connections.peer_messages import Alive
from siskinshift.connections.peer_messages import KnownHosts
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.registration import MEMBERS_PREFIX
from siskinshift.connections.registration import Registration
from siskinshift.connections.segment import caller_host
from siskinshift.core.clocks import monotonic_clock
from siskinshift.core.clocks import unix_milliseconds
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.observability.event_log import EventLog
from siskinshift.platform.heartbeats import READINESS_PATH
from siskinshift.platform.packets import encode_reset
from siskinshift.platform.settings import load_node_settings
from siskinshift.platform.settings import settings_path
from siskinshift.platform.store import PlatformStore
from siskinshift.runtime.event_loop import EventLoop
from siskinshift.runtime.event_loop import open_datagram_socket
from siskinshift.runtime.http_server import HttpServer
from siskinshift.runtime.http_server import ServerResponse
from siskinshift.runtime.life_cycle import LifeCycle
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


# Seeds, and some of the peers, are asked until all are known, and once after the first
# reading of the store. Not at once without one: seeds may be starting as well.
SEED_WAIT_SECONDS = 0.3
# Hosts that peers name later than this after a start are those of another writer.
HOSTS_TAKEN_SECONDS = 5.0
SEED_INTERVAL_SECONDS = 0.5
ASKED_PEERS = 2
FORGET_INTERVAL_SECONDS = 1.0
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4"


class ConnectionNode(LifeCycle):
    """Sockets, peers, registration and life of a node on the platform."""

    def __init__(self, settings: NodeSettings, *, role: Role) -> None:
        """Binds the sockets.

        Args:
            settings: Settings of the node.
            role: Balancer or agent.
        """
        super().__init__(name=settings.node_id)
        self.node_settings = settings
        self.random = Random()
        self.clock = monotonic_clock
        self.log = EventLog(process=settings.node_id, clock=self.clock)
        self.add_cleanup(self.log.write)
        self.spawn(self.log.write_until, self.stopping)
        self.loop = EventLoop(clock=self.clock, log=self.log)
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
        self.peer_socket = open_datagram_socket(settings.host, settings.peer_port)
        self.add_cleanup(self.peer_socket.close)
        self.store = PlatformStore(settings.store, stopping=self.stopping)
        self.add_cleanup(self.store.close)
        self._registration = Registration(
            store=self.store,
            own=lambda: self.member,
            prefix=self.members_prefix,
            has_silent=lambda: self._has_silent,
            on_members=self._take_registered,
            random=self.random,
            log=self.log,
        )
        self._caller_port = settings.caller_packets.port
        self._has_silent = False
        self._ask_seeds_at = self.clock() + SEED_WAIT_SECONDS
        self._has_asked = False
        self._hosts_taken_until = self.clock() + HOSTS_TAKEN_SECONDS
        self._forgot_at = float("-inf")
        self._greeted_at = float("-inf")
        self.is_leaving = False

    def on_start(self) -> None:
        """Serves readiness, joins the others, starts the loop's handlers."""
        self.log.fact(
            "started", role=self.member.role.value, incarnation=self.member.incarnation
        )
        self.add_sockets()
        own = Endpoint(self.node_settings.host, self.node_settings.peer_port)
        self.serve(own, self.answer_peer)
        if self.node_settings.readiness is not None:
            self.serve(self.node_settings.readiness, self._answer_readiness)
        self.spawn(self._keep_registered)

    def add_sockets(self) -> None:
        """Hands the node's sockets and timers to its loop."""
        self.loop.add_socket(self.peer_socket, self._on_peer_datagram, read_last=True)
        self.loop.add_timer(self._tick)

    def run(self) -> None:
        """Runs the loop on the calling thread until the application stops."""
        signal.signal(signal.SIGTERM, lambda *_: self.loop.call(self._leave))
        signal.signal(signal.SIGINT, lambda *_: self.loop.call(self._leave))
        signal.signal(signal.SIGHUP, lambda *_: self.loop.call(self.on_reload))
        self.loop.run_until(self.stopping)

    def serve(self, endpoint: Endpoint, handler: Handler) -> None:
        """Serves HTTP at an endpoint.

        Args:
            endpoint: Where.
            handler: Answers the requests.
        """
        server = HttpServer(self, endpoint.host, endpoint.port, handler, log=self.log)
        self.add_cleanup(server.close)
        server.start()

    def on_stop(self) -> None:
        """Logs the end; threads see `stopping`."""
        self.log.fact("stopped", dropped_lines_total=self.log.dropped)

    def on_task_failed(self, error: BaseException) -> None:
        """Logs the error; without the line a node that lost a task looks well."""
        self.log.fact("task failed", error=repr(error))

    def end_registration(self) -> None:
        """Takes the node's entry out of the store, so that nobody waits for it."""
        self._registration.end()

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send work to this node."""
        raise NotImplementedError

    @property
    def load(self) -> Load:
        """The node's load for its peers."""
        return Load()

    @property
    def configuration_version(self) -> int:
        """Newest configuration that the node holds; 0 for none."""
        return 0

    def begin_leaving(self) -> None:
        """Hook: the process was told to end; sets `stopping` when it may."""
        raise NotImplementedError

    def on_reload(self) -> None:
        """Reads the settings again; a file that is wrong changes nothing.

        Seeds are taken over. Names and addresses are those of the sockets and of the
        node's entry: a change of them is told and needs a restart.
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
        """Hook: takes a message about a flow."""
        raise NotImplementedError

    def on_peer_status(self, peer: Peer, now: float) -> Iterable[Action]:
        """Hook: a peer said something of itself."""
        return ()

    def on_peer_restarted(
        self, peer: Peer, silent_since: float, now: float
    ) -> Iterable[Action]:
        """Hook: a known peer speaks as a new process."""
        return ()

    def on_due(self, now: float) -> float:
        """Hook: does what is due; returns when it is due next."""
        raise NotImplementedError

    def change_member(self, *, state: MemberState, weight: int, slots: int) -> bool:
        """Changes the node's own record.

        Args:
            state: New state.
            weight: New weight.
            slots: New slots.

        Returns:
            Whether anything is different.
        """
        changed = attrs.evolve(self.member, state=state, weight=weight, slots=slots)
        if changed == self.member:
            return False
        self.member = attrs.evolve(changed, version=self.member.version + 1)
        self.log.fact("state", state=state.value, weight=weight, slots=slots)
        return True

    def send_status(self, peers: Iterable[Peer], *, wants_status: bool = False) -> None:
        """Tells peers of this node.

        Args:
            peers: Who is told.
            wants_status: Whether they should answer.
        """
        datagram = self._own_status(wants_status=wants_status)
        for peer in peers:
            self.send_datagram(datagram, peer.address)

    def send_heartbeats(self, due: HeartbeatRound) -> None:
        """Tells peers that this node is as they know it.

        Args:
            due: Who is told, and when they are told again.
        """
        datagram = encode_alive(
            Alive(
                self.member.incarnation,
                self.member.version,
                self.load,
                self.configuration_version,
                due.next_within,
            )
        )
        for peer in due.peers:
            self.send_datagram(datagram, peer.address)

    def new_schedule(self, *, interval: float) -> HeartbeatSchedule:
        """Makes a schedule of heartbeats to one kind of peers.

        Args:
            interval: Seconds between two heartbeats to one peer while peers are few.
        """
        domain = self.member.failure_domain
        return HeartbeatSchedule(failure_domain=domain, interval=interval)

    def send_datagram(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Sends a message to a node; one that can't be sent counts as lost.

        Args:
            datagram: The message.
            address: Host and port.
        """
        try:
            self.peer_socket.sendto(datagram, address)
        except OSError as error:
            self.log.decision("send failed", address=address[0], error=str(error))

    def perform(self, actions: Iterable[Action]) -> None:
        """Does what a decision asked for.

        Args:
            actions: What to do.
        """
        for action in actions:
            if type(action) is ToPeer:
                self.send_datagram(action.datagram, action.address)
            elif type(action) is ToUpstream:
                self.send_to_upstream(action.datagram)
            elif type(action) is ToCaller:
                self.send_to_caller(action.flow, action.datagram)
            elif type(action) is ResetCaller:
                reset = encode_reset(action.flow, seq=action.acknowledged)
                self.send_to_caller(action.flow, reset)

    def send_to_upstream(self, datagram: bytes) -> None:
        """Hook: hands a packet to the upstream."""
        raise NotImplementedError

    def send_to_caller(self, flow: bytes, datagram: bytes) -> None:
        """Sends a packet to the flow's caller.

        Args:
            flow: The flow.
            datagram: The packet.
        """
        self.send_datagram(datagram, (caller_host(flow), self._caller_port))

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
        elif isinstance(message, Alive):
            self._on_alive(message, source, now)
        elif isinstance(message, KnownHosts):
            self._on_known_hosts(message, source[0], now)
        else:
            self.perform(self.on_message(message, source, now))

    def _on_status(self, status: Status, source: tuple[str, int], now: float) -> None:
        before = self.fleet.peers_by_id.get(status.member.member_id)
        incarnation = before.member.incarnation if before else 0
        silent_since = before.heard_at if before else now
        peer = self.fleet.heard(status, now=now)
        if peer is None:
            return
        if before is None:
            self.log.fact("peer found", peer=status.member.member_id, source="itself")
        if status.wants_status:
            self.send_datagram(self._own_status(), source)
        if status.wants_members:
            for known in self._discovery.for_peer(status.member, now=now):
                self.send_datagram(encode_known_hosts(known), source)
        if before is not None and incarnation != status.member.incarnation:
            self.log.fact("peer restarted", peer=status.member.member_id)
            self.perform(self.on_peer_restarted(peer, silent_since, now))
        self.perform(self.on_peer_status(peer, now))

    def _on_alive(self, words: Alive, source: tuple[str, int], now: float) -> None:
        peer = self.fleet.peers_by_address.get(source)
        if peer is None or not self.fleet.alive(peer, words, now=now):
            # A peer that is not known, or not as it is now: its whole record is
            # asked for.
            self.send_datagram(self._own_status(wants_status=True), source)
            return
        self.perform(self.on_peer_status(peer, now))

    def _greet(self, peers: list[Peer]) -> None:
        for peer in peers:
            self.log.fact("peer found", peer=peer.member.member_id, source="others")
        self.send_status(peers, wants_status=True)

    @property
    def members_prefix(self) -> str:
        """Prefix of the entries in the store that this node has to know."""
        return MEMBERS_PREFIX

    def is_wanted(self, member: Member) -> bool:
        """Whether this node has to know a member that it reads of."""
        return True

    def _take_registered(self, members: list[Member]) -> None:
        wanted = [member for member in members if self.is_wanted(member)]

        def take() -> None:
            self._greet(self.fleet.registered(wanted, now=self.clock()))
            if not self._has_asked:
                self._ask_seeds(self.clock())

        self.loop.call(take)

    def _on_known_hosts(self, known: KnownHosts, teller: str, now: float) -> None:
        if now > self._hosts_taken_until and self.fleet.is_complete(now=now):
            # Nobody was asked any more.
            return
        if not self._discovery.told(known, teller, now=now):
            self.log.decision("hosts refused", source=teller, hosts=len(known.hosts))
            return
        self._greet_hosts(now)

    def _greet_hosts(self, now: float) -> None:
        datagram = self._own_status(wants_status=True)
        for host in self._discovery.strangers(now=now):
            self.send_datagram(datagram, (host, self.node_settings.peer_port))

    def _tick(self, now: float) -> float:
        if now >= self._ask_seeds_at:
            self._ask_seeds(now)
        if now - self._greeted_at >= GREET_AGAIN_SECONDS:
            self._greeted_at = now
            self.send_status(self.fleet.unheard(now=now), wants_status=True)
            self._greet_hosts(now)
        if now - self._forgot_at >= FORGET_INTERVAL_SECONDS:
            self._forgot_at = now
            for peer in self.fleet.forget_silent(now=now):
                self.log.fact("peer forgotten", peer=peer.member.member_id)
            self._has_silent = self.fleet.has_silent(now=now)
        due = min(self._forgot_at + FORGET_INTERVAL_SECONDS, self.on_due(now))
        due = min(due, self._greeted_at + GREET_AGAIN_SECONDS)
        return min(due, self._ask_seeds_at)

    def _ask_seeds(self, now: float) -> None:
        """Asks seeds, and peers that were heard, for the others until all are known.

        Guards against a start while the store is away: nodes would not find each
        other until it is back, and a balancer would take agents that it does not know
        for none. And against a start while the store has lost the entry of a node that
        lives: its peers know it.
        """
        if self._discovery.are_complete(now=now):
            self.fleet.complete()
        if self._has_asked and self.fleet.is_complete(now=now):
            self._ask_seeds_at = float("inf")
            return
        self._has_asked = True
        self._ask_seeds_at = now + SEED_INTERVAL_SECONDS
        heard = [peer.address[0] for peer in self.fleet.balancers()]
        asked = self.random.sample(heard, min(ASKED_PEERS, len(heard)))
        # Seeds are the same for all nodes: once the store was read they are spared.
        is_read = self.fleet.is_complete(now=now)
        seeds = () if is_read else self.node_settings.seed_hosts
        datagram = self._own_status(wants_status=True, wants_members=True)
        for host in {*seeds, *asked}:
            if host != self.node_settings.host:
                self.send_datagram(datagram, (host, self.node_settings.peer_port))

    def _keep_registered(self) -> None:
        while not self.stopping.is_set():
            self.stopping.wait(self._registration.step(now=self.clock()))

    def answer_peer(self, request: HttpRequest) -> ServerResponse:
        """Answers calls of peers and of whoever collects metrics.

        Args:
            request: The call.

        Returns:
            The answer.
        """
        if request.path != METRICS_PATH:
            return ServerResponse(404)
        metrics = self.log.metrics
        metrics.set_gauge("flows", self.load.flows)
        metrics.set_gauge("requests_running", self.load.running)
        metrics.set_gauge("peers", len(self.fleet.peers_by_id))
        metrics.set_gauge("configuration_version", self.configuration_version)
        metrics.set_gauge("log_lines_dropped", self.log.dropped)
        return ServerResponse(200, metrics.render().encode(), METRICS_TYPE)

    def _answer_readiness(self, request: HttpRequest) -> ServerResponse:
        if request.path != READINESS_PATH:
            return ServerResponse(404)
        return ServerResponse(200 if self.is_ready else 503)

    def _leave(self) -> None:
        if self.is_leaving:
            return
        self.is_leaving = True
        self.log.fact("leaving")
        self.begin_leaving()
