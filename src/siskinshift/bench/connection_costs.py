"""What a packet costs a balancer of connection flows: processor time of its thread.

The real node with its real sockets on the loopback, without its tasks for the store.
Packets of open flows come one at a time, as on a calm link, or in bursts, as while the
instance is overloaded. `make bench-connections` prints one line of JSON.
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
PORT = 7431
CALLERS_PORT = 7432
SERVICE_ADDRESS = pack_service_address("198.18.0.1", 443)
AGENTS = 34
FLOWS = 500
ROUNDS = 20
PACKETS_A_ROUND = 500
OPENINGS_A_ROUND = 50
# More than any message of a balancer to an agent here.
READ_BYTES = 2048
# Fits into the smallest receive buffer of the loopback.
BURST = 64
REQUEST_BYTES = 200
# Where a packet names its flow.
FLOW_OFFSET = 4


@frozen
class ConnectionCosts:
    """Processor time of the balancer's thread, medians over rounds.

    Attributes:
        single_microseconds: A packet that comes alone, us.
        burst_microseconds: A packet of a burst, us.
        opening_microseconds: An opening packet with its agent's verdict, us.
    """

    single_microseconds: float
    burst_microseconds: float
    opening_microseconds: float


class _Bench:
    def __init__(self) -> None:
        self._node = BalancerNode(_settings())
        self._node.add_sockets()
        self._callers = open_datagram_socket(CALLER, 0)
        self._agents = []
        for number in range(AGENTS):
            host = f"127.0.9.{number + 1}"
            opened = open_datagram_socket(host, PORT)
            self._agents.append(opened)
            status = encode_status(Status(_agent(f"agent-{number}", host), Load()))
            opened.sendto(status, (BALANCER, PORT))
        self._node.configure(_routes(), ReceivedConfiguration(b""))
        self._turn()
        self._port = 1024
        self._ports = [self._open() for _ in range(FLOWS)]
        self._random = Random(1)

    def run(self) -> ConnectionCosts:
        singles, bursts, openings = [], [], []
        for _ in range(ROUNDS):
            singles.append(self._flow_packets(1))
            bursts.append(self._flow_packets(BURST))
            openings.append(self._openings())
        return ConnectionCosts(
            single_microseconds=round(statistics.median(singles), 1),
            burst_microseconds=round(statistics.median(bursts), 1),
            opening_microseconds=round(statistics.median(openings), 1),
        )

    def close(self) -> None:
        for opened in (*self._agents, self._callers):
            opened.close()
        self._node.stop()

    def _flow_packets(self, burst: int) -> float:
        spent = 0.0
        rounds = PACKETS_A_ROUND // burst
        for _ in range(rounds):
            for _ in range(burst):
                self._send(self._random.choice(self._ports), is_opening=False)
            spent += self._turn()
        self._drain_agents()
        return spent / (rounds * burst) * 1e6

    def _openings(self) -> float:
        spent = 0.0
        for _ in range(OPENINGS_A_ROUND):
            spent += self._timed_open()
        return spent / OPENINGS_A_ROUND * 1e6

    def _open(self) -> int:
        self._timed_open()
        return self._port

    def _timed_open(self) -> float:
        self._port += 1
        self._send(self._port, is_opening=True)
        spent = self._turn()
        for opened in self._agents:
            try:
                message = opened.recv(READ_BYTES)
            except BlockingIOError:
                continue
            header = message[-HEADER_SIZE:]
            flow = header[FLOW_OFFSET : FLOW_OFFSET + FLOW_SIZE]
            verdict = FlowVerdict(Verdict.ACCEPTED, flow, Load())
            opened.sendto(encode_verdict(verdict), (BALANCER, PORT))
        return spent + self._turn()

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
        self._callers.sendto(packet, (BALANCER, CALLERS_PORT))

    def _turn(self) -> float:
        started_at = time.thread_time()
        self._node.loop.turn()
        return time.thread_time() - started_at

    def _drain_agents(self) -> None:
        for opened in self._agents:
            try:
                while True:
                    opened.recv(READ_BYTES)
            except BlockingIOError:
                continue


def _settings() -> NodeSettings:
    return NodeSettings(
        node_id="bench-balancer",
        region="r",
        failure_domain="a",
        host=BALANCER,
        peer_port=PORT,
        seed_hosts=(),
        readiness=None,
        heartbeats=None,
        caller_packets=Endpoint(BALANCER, CALLERS_PORT),
        upstream_outlet=None,
        upstream=None,
        service_id="",
        heartbeat_interval=1.0,
        leave_seconds=6.0,
        link_bytes_per_second=125e6,
        store=StoreSettings(Endpoint(BALANCER, 1), 10.0, 20, 1.0),
    )


def _agent(member_id: str, host: str) -> Member:
    endpoint = Endpoint(host, PORT)
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


def _routes() -> RouteTable:
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
    bench = _Bench()
    started_at = time.monotonic()
    try:
        costs = bench.run()
    finally:
        bench.close()
    seconds = round(time.monotonic() - started_at, 1)
    print(orjson.dumps({**asdict(costs), "took_seconds": seconds}).decode())


if __name__ == "__main__":
    main()
