"""Costs of control messages on real sockets, and processes of each role."""

from __future__ import annotations

import os
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.bench.control_fleet import WireOverhead
from siskinshift.bench.control_fleet import make_agents
from siskinshift.bench.control_fleet import make_balancers
from siskinshift.bench.control_fleet import make_service
from siskinshift.control.client import ControlClient
from siskinshift.control.codec import encode_message
from siskinshift.control.server import ControlRoutes
from siskinshift.control.server import ControlServer
from siskinshift.core.keyring import KeyRing
from siskinshift.membership.actions import PATHS_BY_MESSAGE_TYPE
from siskinshift.membership.actions import REPLY_TYPES_BY_MESSAGE_TYPE
from siskinshift.membership.assignment import WatcherAssignment
from siskinshift.messages.core import Endpoint
from siskinshift.messages.membership import Heartbeat
from siskinshift.messages.membership import HeartbeatReply
from siskinshift.messages.membership import News
from siskinshift.messages.membership import NewsReply
from siskinshift.settings.loader import SettingsLoader


if TYPE_CHECKING:
    from siskinshift.messages.core import Member
    from siskinshift.settings.generated import Settings


LOOPBACK = "127.0.0.1"
ROUNDS = 2000
WARM_UP_ROUNDS = 200
NEWS_ROUNDS = 100
BATCH = 64
LINK_HEAD_BYTES = 14
ADDRESS_HEADS_BYTES = 20 + 32  # IP and TCP with time stamps
LOAD_BATCH = 200
START_SECONDS = 3.0
# A balancer that was told all passes it on at 200 records a second first.
SETTLE_SECONDS = 45.0
WATCH_SECONDS = 10.0
# Offsets in the kernel's struct tcp_info, linux/tcp.h.
TCP_INFO_BYTES = 152
TCP_INFO_ACKED = 120
TCP_INFO_SEGMENTS_OUT = 136


@frozen
class MessageCosts:
    """Cost of messages; processor times in microseconds.

    Attributes:
        heartbeat_client: Processor of the sender of a heartbeat.
        heartbeat_server: Processor of its receiver.
        heartbeat_wire: Bytes on the wire of a heartbeat and its reply, heads of
            Ethernet, IP and TCP and acknowledgements included.
        heartbeat_bodies: Bytes of the two bodies.
        record_client: Processor of the sender for one record in a batch.
        record_server: Processor of the receiver for it.
        record_bytes: Bytes of one record in a packed batch.
    """

    heartbeat_client: float
    heartbeat_server: float
    heartbeat_wire: float
    heartbeat_bodies: int
    record_client: float
    record_server: float
    record_bytes: float

    @property
    def overhead(self) -> WireOverhead:
        """Bytes around the bodies, shared between request and reply."""
        around = int(self.heartbeat_wire - self.heartbeat_bodies)
        return WireOverhead(request=around * 3 // 5, reply=around * 2 // 5)


def _settings(lines: str = "") -> Settings:
    text = (
        "[node]\nnode_id = balancer-0000\nregion = region-1\nfailure_domain = fd-1\n"
        "control_endpoint = 127.0.0.1:0\ndata_endpoint = 127.0.0.1:0\n"
        "[keys]\ncurrent = a-key-of-sixteen-or-more\n" + lines
    )
    return SettingsLoader(source="bench").load(text)


def _server(routes: ControlRoutes, key_ring: KeyRing) -> ControlServer:
    server = ControlServer(
        endpoint=Endpoint(LOOPBACK, 0),
        routes=routes,
        key_ring=key_ring,
        executor=ThreadPoolExecutor(64),
    )
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


def _endpoint_of(server: ControlServer) -> Endpoint:
    host, port = server.server_address[:2]
    return Endpoint(str(host), port)


def measure_messages() -> MessageCosts:
    """Sends heartbeats and batches of news over loopback.

    Returns:
        Their costs.
    """
    key_ring = KeyRing(_settings().keys)
    routes = ControlRoutes()
    routes.handles(PATHS_BY_MESSAGE_TYPE[Heartbeat], Heartbeat)(
        lambda _: HeartbeatReply()
    )
    routes.handles(PATHS_BY_MESSAGE_TYPE[News], News)(lambda _: NewsReply())
    server = _server(routes, key_ring)
    client = ControlClient(
        endpoint=_endpoint_of(server), key_ring=key_ring, timeout=2.0
    )
    own = make_agents(1, 1)[0]
    heartbeat = Heartbeat(own.member_id, own.incarnation, 4, "0" * 16, "0" * 16)
    news = News("balancer-0000", members=_varied(make_agents(BATCH, 13)))
    _time_calls(client, heartbeat, WARM_UP_ROUNDS)
    bytes_before = _wire_bytes(client)
    sender, receiver = _time_calls(client, heartbeat, ROUNDS)
    wire = (_wire_bytes(client) - bytes_before) / ROUNDS
    news_sender, news_receiver = _time_calls(client, news, NEWS_ROUNDS)
    before = _wire_bytes(client)
    _time_calls(client, news, NEWS_ROUNDS)
    news_wire = (_wire_bytes(client) - before) / NEWS_ROUNDS
    client.close()
    server.shutdown()
    return MessageCosts(
        heartbeat_client=sender,
        heartbeat_server=receiver,
        heartbeat_wire=wire,
        heartbeat_bodies=len(encode_message(heartbeat))
        + len(encode_message(HeartbeatReply())),
        record_client=(news_sender - sender) / BATCH,
        record_server=(news_receiver - receiver) / BATCH,
        record_bytes=(news_wire - wire) / BATCH,
    )


def _varied(members: list[Member]) -> tuple[Member, ...]:
    """Gives members numbers that differ, or they'd pack better than real ones."""
    random = Random(1)
    return tuple(
        attrs.evolve(
            member,
            incarnation=member.incarnation + random.randrange(10**9),
            data=Endpoint(member.data.host, random.randrange(1024, 65536)),
        )
        for member in members
    )


def _time_calls(
    client: ControlClient, message: Heartbeat | News, rounds: int
) -> tuple[float, float]:
    """Processor time of both ends of a call, microseconds."""
    path = PATHS_BY_MESSAGE_TYPE[type(message)]
    reply_type = REPLY_TYPES_BY_MESSAGE_TYPE[type(message)]
    process_before = time.process_time()
    thread_before = time.thread_time()
    for _ in range(rounds):
        client.call(path, message, reply_type)
    sender = time.thread_time() - thread_before
    both = time.process_time() - process_before
    return sender / rounds * 1e6, (both - sender) / rounds * 1e6


def _wire_bytes(client: ControlClient) -> float:
    connection = client._connection
    assert connection is not None
    info = connection.sock.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
    )
    acked, received = struct.unpack_from("QQ", info, TCP_INFO_ACKED)
    segments = sum(struct.unpack_from("II", info, TCP_INFO_SEGMENTS_OUT))
    return float(acked + received + segments * (LINK_HEAD_BYTES + ADDRESS_HEADS_BYTES))


@frozen
class ProcessFigures:
    """What one process of a role takes.

    Attributes:
        role: Role and what it held.
        resident_mb: Resident memory, megabytes.
        core_percent: Processor, per cent of one core, control traffic included.
        messages_per_second: Control messages it received.
    """

    role: str
    resident_mb: float
    core_percent: float
    messages_per_second: float


def measure_process(
    *, role: str, balancers: int, agents: int, services: int
) -> ProcessFigures:
    """Runs one process of a role against a peer that answers everything.

    Args:
        role: "balancer" or "agent".
        balancers: Balancers that a balancer is told of.
        agents: Agents that it is told of.
        services: Services that it is told of.

    Returns:
        Its figures over a quiet while.
    """
    key_ring = KeyRing(_settings().keys)
    peer = _server(_peer_routes(), key_ring)
    peer_endpoint = _endpoint_of(peer)
    control = _free_port()
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "settings.ini"
        path.write_text(_process_settings(role, control, peer_endpoint))
        process = subprocess.Popen(
            [sys.executable, "-m", "siskinshift", role, "--settings", str(path)],
            stderr=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
        )
        try:
            time.sleep(START_SECONDS)
            client = ControlClient(
                endpoint=Endpoint(LOOPBACK, control), key_ring=key_ring, timeout=5.0
            )
            members = _at(peer_endpoint, make_balancers(balancers)[1:])
            members += _at(peer_endpoint, make_agents(agents, max(1, services)))
            if role == "balancer":
                _load(client, members, services)
            return _watch(process.pid, role, client, members)
        finally:
            process.terminate()
            process.wait()
            peer.shutdown()


def _watch(
    pid: int, role: str, client: ControlClient, members: list[Member]
) -> ProcessFigures:
    watched = _watched_by_process(members) if role == "balancer" else []
    settle = SETTLE_SECONDS if role == "balancer" else START_SECONDS
    _send_heartbeats(client, watched, settle)
    used = _processor_seconds(pid)
    started = time.monotonic()
    sent = _send_heartbeats(client, watched, WATCH_SECONDS)
    elapsed = time.monotonic() - started
    client.close()
    return ProcessFigures(
        role=f"{role}, knows {len(members) if role == 'balancer' else 0} others",
        resident_mb=_resident_bytes(pid) / 1e6,
        core_percent=(_processor_seconds(pid) - used) / elapsed * 100,
        messages_per_second=sent / elapsed,
    )


def _watched_by_process(members: list[Member]) -> list[Member]:
    """Members that the process works out as its own to watch."""
    own = make_balancers(1)[0]
    assignment = WatcherAssignment([own, *members])
    return [one for one in members if assignment.watches(own, one)]


def _send_heartbeats(
    client: ControlClient, members: list[Member], seconds: float
) -> int:
    until = time.monotonic() + seconds
    sent = 0
    while time.monotonic() < until:
        for member in members:
            heartbeat = Heartbeat(member.member_id, member.incarnation, member.version)
            client.call(PATHS_BY_MESSAGE_TYPE[Heartbeat], heartbeat, HeartbeatReply)
            sent += 1
            time.sleep(1.0 / len(members))
        if not members:
            time.sleep(0.5)
    return sent


def _peer_routes() -> ControlRoutes:
    """Answers every message as a peer without news does."""
    routes = ControlRoutes()
    for message_type, path in PATHS_BY_MESSAGE_TYPE.items():
        reply_type = REPLY_TYPES_BY_MESSAGE_TYPE[message_type]
        if reply_type is Heartbeat:
            routes.handles(path, message_type)(
                lambda ping: Heartbeat(ping.member_id, 0, 0)
            )
        else:
            routes.handles(path, message_type)(lambda _, kind=reply_type: kind())  # type: ignore[misc]
    return routes


def _process_settings(role: str, control: int, peer: Endpoint) -> str:
    lines = [
        "[node]",
        "node_id = balancer-0000" if role == "balancer" else "node_id = agent-x",
        "region = region-1",
        "failure_domain = fd-1",
        f"control_endpoint = {LOOPBACK}:{control}",
        f"data_endpoint = {LOOPBACK}:0",
        "[keys]",
        "current = a-key-of-sixteen-or-more",
        "[membership]",
        f"seeds = {peer.host}:{peer.port}",
    ]
    if role == "agent":
        lines += ["[agent]", "upstream_class = class-0000"]
    return "\n".join(lines)


def _load(client: ControlClient, members: list[Member], services: int) -> None:
    path = PATHS_BY_MESSAGE_TYPE[News]
    for start in range(0, len(members), LOAD_BATCH):
        batch = tuple(members[start : start + LOAD_BATCH])
        client.call(path, News("balancer-x", members=batch), NewsReply)
    for start in range(0, services, LOAD_BATCH):
        numbers = range(start, min(services, start + LOAD_BATCH))
        records = tuple(make_service(number, number + 1) for number in numbers)
        client.call(path, News("balancer-x", services=records), NewsReply)


def _at(endpoint: Endpoint, members: list[Member]) -> list[Member]:
    return [attrs.evolve(member, control=endpoint) for member in members]


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


def _resident_bytes(pid: int) -> int:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
