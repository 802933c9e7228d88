"""Measures exchanges through one balancer and one agent over loopback sockets."""

from __future__ import annotations

import gc
import selectors
import socket
import threading
import time
import tracemalloc

from attrs import frozen

from siskinshift.agent.datagram_flows import DatagramFlows
from siskinshift.bench.dataplane_decisions import PAYLOAD
from siskinshift.bench.dataplane_decisions import MemoryRow
from siskinshift.bench.dataplane_decisions import make_caller
from siskinshift.core.clocks import monotonic_clock
from siskinshift.core.packets import Packet
from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import ServiceMode


SERVICE = "editor"
CALLER_COUNT = 32
READY_SECONDS = 30.0
RETRY_SECONDS = 0.5
MAX_REPLY_BYTES = 2048


@frozen
class PathRow:
    """Cost of the full path from a caller to an upstream and back.

    Attributes:
        process: Process whose threads were measured.
        exchanges: Number of requests with a reply.
        exchanges_per_second: Rate in wall-clock time, with all processes on one
            interpreter.
        microseconds: Processor time of the process's threads for one exchange.
    """

    process: str
    exchanges: int
    exchanges_per_second: float
    microseconds: float


class Callers:
    """Callers that each send the next request after the reply to the last one."""

    def __init__(self, address: Endpoint) -> None:
        """Opens the sockets.

        Args:
            address: Service address.
        """
        self._selector = selectors.DefaultSelector()
        self._sockets = []
        for _ in range(CALLER_COUNT):
            caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            caller.connect((address.host, address.port))
            caller.setblocking(False)
            self._selector.register(caller, selectors.EVENT_READ)
            self._sockets.append(caller)

    def exchange(self, seconds: float) -> int:
        """Exchanges requests and replies for a period.

        Args:
            seconds: Duration.

        Returns:
            Number of replies.
        """
        answered = 0
        deadline = time.monotonic() + seconds
        for caller in self._sockets:
            caller.send(PAYLOAD)
        while time.monotonic() < deadline:
            ready = self._selector.select(RETRY_SECONDS)
            if not ready:
                for caller in self._sockets:
                    caller.send(PAYLOAD)
            for key, _ in ready:
                ready_socket = key.fileobj
                assert isinstance(ready_socket, socket.socket)
                ready_socket.recv(MAX_REPLY_BYTES)
                ready_socket.send(PAYLOAD)
                answered += 1
        return answered

    def close(self) -> None:
        """Closes the sockets."""
        self._selector.close()
        for caller in self._sockets:
            caller.close()


def path_rows(seconds: float) -> list[PathRow]:
    """Measures exchanges through one balancer and one agent.

    Args:
        seconds: Duration.

    Returns:
        One row for the balancer, one for the agent.
    """
    plan = ServicePlan(SERVICE, 1, 1, ServiceMode.DATAGRAM)
    deployment = Deployment(name="bench", plans=(plan,), balancers=1)
    deployment.start()
    try:
        callers = Callers(deployment.services_by_id[SERVICE].addresses[0])
        wait_for_replies(callers)
        node_ids_by_process = {
            "balancer": next(iter(deployment.balancers_by_id)),
            "agent": next(iter(deployment.agents_by_id)),
        }
        seconds_before = {
            process: thread_seconds(name)
            for process, name in node_ids_by_process.items()
        }
        answered = callers.exchange(seconds)
        rows = []
        for process, name in node_ids_by_process.items():
            used = thread_seconds(name) - seconds_before[process]
            rows.append(
                PathRow(process, answered, answered / seconds, used / answered * 1e6)
            )
        callers.close()
    finally:
        deployment.stop()
    return rows


def wait_for_replies(callers: Callers) -> None:
    """Exchanges packets until replies arrive.

    Args:
        callers: The callers.

    Raises:
        TimeoutError: No reply arrived.
    """
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        if callers.exchange(1.0) > CALLER_COUNT:
            return
    raise TimeoutError("no replies from the service")


def thread_seconds(name: str) -> float:
    """Returns the total processor time of an application's threads.

    Args:
        name: Node id of the application.

    Returns:
        Processor time in seconds since their start.
    """
    total = 0.0
    for thread in threading.enumerate():
        if thread.name.startswith(f"{name}_") and thread.ident is not None:
            clock = time.pthread_getcpuclockid(thread.ident)
            total += time.clock_gettime(clock)
    return total


def socket_memory(flow_counts: tuple[int, ...]) -> list[MemoryRow]:
    """Measures the memory of relayed flows, each with a socket to the upstream.

    Args:
        flow_counts: Numbers of flows; each flow uses a file descriptor.

    Returns:
        The rows.
    """
    rows = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as upstream:
        upstream.bind(("127.0.0.1", 0))
        endpoint = Endpoint(*upstream.getsockname())
        for count in flow_counts:
            flows = DatagramFlows(
                upstream=endpoint,
                idle_timeout=3600.0,
                clock=monotonic_clock,
                send_reply=lambda _: None,
                on_flow_end=lambda _: None,
            )
            packets = [Packet(make_caller(n), endpoint, b"") for n in range(count)]
            gc.collect()
            tracemalloc.start()
            for number, packet in enumerate(packets):
                flows.deliver(number, packet)
            gc.collect()
            used_bytes = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            flows.close()
            rows.append(
                MemoryRow(
                    "relay, one socket a flow",
                    count,
                    used_bytes / count,
                    used_bytes / 1e3,
                )
            )
    return rows
