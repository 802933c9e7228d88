"""Measures the processor time of a balancer of connection flows for each packet.

The production node runs with loopback sockets, without its tasks for the store. Packets
of open flows arrive one at a time, as on a lightly loaded link, or in bursts, as on an
overloaded instance. `make bench-connections` prints one line of JSON.
"""

from __future__ import annotations

import socket
import statistics
import time
from random import Random

import orjson
from attrs import asdict
from attrs import frozen

from siskinshift.connections.balancer_node import BalancerNode
from siskinshift.connections.configuration_follower import ReceivedConfiguration
from siskinshift.connections.node_settings import NodeSettings
from siskinshift.connections.node_settings import StoreSettings
from siskinshift.connections.peer_codec import encode_status
from siskinshift.connections.peer_codec import encode_verdict
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.routes import ConnectionRoute
from siskinshift.connections.routes import RouteTable
from siskinshift.connections.routes import Target
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import FLOW_SIZE
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import pack_service_address
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.platform.packets import HEADER_SIZE
from siskinshift.runtime.event_loop import open_datagram_socket
from siskinshift.standins.connection_ends import encode_packet


BALANCER = "127.0.8.1"
CALLER = "127.0.8.2"
PEER_PORT = 7431
CALLER_PACKET_PORT = 7432
SERVICE_ADDRESS = pack_service_address("198.18.0.1", 443)
AGENT_COUNT = 34
FLOW_COUNT = 500
ROUNDS = 20
PACKETS_PER_ROUND = 500
OPENINGS_PER_ROUND = 50
# Larger than any message from a balancer to an agent in this benchmark.
MAX_MESSAGE_BYTES = 2048
# Packets that fit into the smallest receive buffer of a loopback socket.
BURST_SIZE = 64
REQUEST_BYTES = 200
# Offset of the flow in a packet header.
FLOW_OFFSET = 4


@frozen
class ConnectionCosts:
    """Processor time of the balancer's thread, medians over rounds.

    Attributes:
        single_microseconds: Time for a packet that arrives alone.
        burst_microseconds: Time for each packet of a burst.
        opening_microseconds: Time for an opening packet and the verdict of its agent.
    """

    single_microseconds: float
    burst_microseconds: float
    opening_microseconds: float


class _Benchmark:
    def __init__(self) -> None:
        self._node = BalancerNode(_make_settings())
        self._node.add_sockets()
        self._caller_socket = open_datagram_socket(CALLER, 0)
        self._agent_sockets = []
        for number in range(AGENT_COUNT):
            host = f"127.0.9.{number + 1}"
            agent_socket = open_datagram_socket(host, PEER_PORT)
            self._agent_sockets.append(agent_socket)
            status = encode_status(Status(_make_agent(f"agent-{number}", host), Load()))
            agent_socket.sendto(status, (BALANCER, PEER_PORT))
        self._node.configure(_make_routes(), ReceivedConfiguration(b""))
        self._time_iteration()
        self._port = 1024
        self._ports = [self._open() for _ in range(FLOW_COUNT)]
        self._random = Random(1)

    def run(self) -> ConnectionCosts:
        singles, bursts, openings = [], [], []
        for _ in range(ROUNDS):
            singles.append(self._time_flow_packets(1))
            bursts.append(self._time_flow_packets(BURST_SIZE))
            openings.append(self._time_openings())
        return ConnectionCosts(
            single_microseconds=round(statistics.median(singles), 1),
            burst_microseconds=round(statistics.median(bursts), 1),
            opening_microseconds=round(statistics.median(openings), 1),
        )

    def close(self) -> None:
        for agent_socket in (*self._agent_sockets, self._caller_socket):
            agent_socket.close()
        self._node.stop()

    def _time_flow_packets(self, burst: int) -> float:
        spent = 0.0
        rounds = PACKETS_PER_ROUND // burst
        for _ in range(rounds):
            for _ in range(burst):
                self._send(self._random.choice(self._ports), is_opening=False)
            spent += self._time_iteration()
        self._drain_agents()
        return spent / (rounds * burst) * 1e6

    def _time_openings(self) -> float:
        spent = 0.0
        for _ in range(OPENINGS_PER_ROUND):
            spent += self._time_open()
        return spent / OPENINGS_PER_ROUND * 1e6

    def _open(self) -> int:
        self._time_open()
        return self._port

    def _time_open(self) -> float:
        self._port += 1
        self._send(self._port, is_opening=True)
        spent = self._time_iteration()
        for agent_socket in self._agent_sockets:
            try:
                message = agent_socket.recv(MAX_MESSAGE_BYTES)
            except BlockingIOError:
                continue
            header = message[-HEADER_SIZE:]
            flow = header[FLOW_OFFSET : FLOW_OFFSET + FLOW_SIZE]
            verdict = FlowVerdict(Verdict.ACCEPTED, flow, Load())
            agent_socket.sendto(encode_verdict(verdict), (BALANCER, PEER_PORT))
        return spent + self._time_iteration()

    def _send(self, port: int, *, is_opening: bool) -> None:
        flow = (
            port.to_bytes(2, "big")
            + SERVICE_ADDRESS[:4]
            + socket.inet_aton(CALLER)
            + SERVICE_ADDRESS[4:]
        )
        packet = encode_packet(
            flow,
            SYN if is_opening else ACK,
            seq=1,
            ack=0 if is_opening else 9,
            data=b"" if is_opening else bytes(REQUEST_BYTES),
            from_caller=True,
        )
        self._caller_socket.sendto(packet, (BALANCER, CALLER_PACKET_PORT))

    def _time_iteration(self) -> float:
        started_at = time.thread_time()
        self._node.loop.run_once()
        return time.thread_time() - started_at

    def _drain_agents(self) -> None:
        for agent_socket in self._agent_sockets:
            try:
                while True:
                    agent_socket.recv(MAX_MESSAGE_BYTES)
            except BlockingIOError:
                continue


def _make_settings() -> NodeSettings:
    return NodeSettings(
        node_id="bench-balancer",
        region="r",
        failure_domain="a",
        host=BALANCER,
        peer_port=PEER_PORT,
        seed_hosts=(),
        readiness=None,
        heartbeats=None,
        caller_packets=Endpoint(BALANCER, CALLER_PACKET_PORT),
        upstream_outlet=None,
        upstream=None,
        service_id="",
        heartbeat_interval=1.0,
        leave_seconds=6.0,
        link_bytes_per_second=125e6,
        store=StoreSettings(Endpoint(BALANCER, 1), 10.0, 20, 1.0, 4.0),
    )


def _make_agent(member_id: str, host: str) -> Member:
    endpoint = Endpoint(host, PEER_PORT)
    return Member(
        member_id=member_id,
        role=Role.AGENT,
        incarnation=1,
        version=1,
        state=MemberState.READY,
        region="r",
        failure_domain="a",
        control=endpoint,
        data=endpoint,
        upstream_class="editor",
        weight=1000,
        slots=1,
    )


def _make_routes() -> RouteTable:
    route = ConnectionRoute(
        name="editor",
        address=SERVICE_ADDRESS,
        targets=(Target("editor", 1),),
        request_parameters=RequestParameters(objective=0.1, deadline=0.5, urgency=1),
        is_single_request=False,
    )
    return RouteTable(version=1, routes_by_address={SERVICE_ADDRESS: route})


def main() -> None:
    """Prints the costs."""
    benchmark = _Benchmark()
    started_at = time.monotonic()
    try:
        costs = benchmark.run()
    finally:
        benchmark.close()
    seconds = round(time.monotonic() - started_at, 1)
    print(orjson.dumps({**asdict(costs), "took_seconds": seconds}).decode())


if __name__ == "__main__":
    main()
