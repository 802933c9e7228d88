"""Clients that keep their flows open, and the check of the rule FLOW."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from standins.client import FlowReset
from standins.client import FlowTimeout
from standins.client import new_port
from standins.deployment import CannotRun
from standins.deployment import route


if TYPE_CHECKING:
    from standins.client import Client
    from standins.deployment import Deployment


PAUSE_S = 0.5
OPEN_TIMEOUT_S = 10.0


class Session(threading.Thread):
    """A client that keeps its flow open and sends a request now and then.

    Attributes:
        owner: Name of the node beside the flow's backend; empty before it is known.
        is_broken: Whether the rule FLOW was broken on its flow.
        may_ask: Set while it sends requests; cleared, it only answers packets.
        stopping: Ends the session when set.
    """

    def __init__(
        self,
        deployment: Deployment,
        client: Client,
        number: int,
        route_port: int,
        port: int,
    ) -> None:
        """Initializes the session; `start` opens the flow."""
        super().__init__(daemon=True)
        self.is_broken = False
        self.may_ask = threading.Event()
        self.is_open = threading.Event()
        self.stopping = threading.Event()
        self._deployment = deployment
        self._client = client
        self._number = number
        self._route_port = route_port
        self._port = port
        self.owner = ""

    def run(self) -> None:
        """Opens the flow, then sends requests until the session ends."""
        try:
            self._client.open(self._port, route(self._route_port))
            body = self._client.request(f"first-{self._number}", "/save").decode()
            self.owner = body.split()[1]
            self.is_open.set()
            self._ask_until_stopped()
        except FlowTimeout:
            return
        except FlowReset:
            self._judge()

    def _ask_until_stopped(self) -> None:
        count = 0
        while not self.stopping.is_set():
            pause_until = time.monotonic() + PAUSE_S
            while time.monotonic() < pause_until or not self.may_ask.is_set():
                self._client.step()
                if self.stopping.is_set():
                    return
            count += 1
            name = f"next-{self._number}-{count}"
            self._client.request(name, "/save", timeout=OPEN_TIMEOUT_S)

    def _judge(self) -> None:
        """Decides whether the reset breaks the rule FLOW, clause (a)."""
        end = self._client.end
        if end is None or not self.owner:
            return
        backend = self._deployment.backends[self.owner]
        is_alive = backend.holds(end.own, end.peer)
        if is_alive and (end.own, end.peer) not in backend.resets_sent:
            self.is_broken = True
            sender = "the system" if self._client.is_reset_by_system else "another one"
            self._deployment.record.add(
                f"FLOW broken: {end.own.host}:{end.own.port} was reset by {sender}, "
                f"but {self.owner} lives, holds the flow open and sent no reset"
            )


def open_sessions(
    deployment: Deployment, count: int, *, route_port: int
) -> list[Session]:
    """Opens flows of new clients at once.

    Args:
        deployment: The deployment.
        count: Number of sessions.
        route_port: Port of their route.

    Returns:
        Their sessions, which send no further requests yet.
    """
    clients = [deployment.add_client() for _ in range(count)]
    return resume_sessions(deployment, clients, new_port(), route_port=route_port)


def resume_sessions(
    deployment: Deployment, clients: list[Client], port: int, *, route_port: int
) -> list[Session]:
    """Opens a flow of each client at once; see `open_sessions`.

    Args:
        deployment: The deployment.
        clients: The clients, each at an address of its own.
        port: The port from which they open their flows.
        route_port: Port of their route.
    """
    sessions = [
        Session(deployment, client, number, route_port, port)
        for number, client in enumerate(clients)
    ]
    for session in sessions:
        session.start()
    for session in sessions:
        if not session.is_open.wait(OPEN_TIMEOUT_S):
            raise CannotRun("a flow did not open")
    return sessions


def end_sessions(sessions: list[Session]) -> bool:
    """Ends sessions; returns whether the rule FLOW was broken on one of them."""
    for session in sessions:
        session.stopping.set()
    for session in sessions:
        session.join(OPEN_TIMEOUT_S)
    return any(session.is_broken for session in sessions)
