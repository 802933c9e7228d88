"""Tests of the handover of requests to a peer over real control connections."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.agent.handover import CANCEL_PATH
from siskinshift.agent.handover import RELEASE_PATH
from siskinshift.agent.handover import RESERVE_PATH
from siskinshift.agent.handover import RUN_PATH
from siskinshift.agent.handover import USAGE_PATH
from siskinshift.agent.handover import RequestHandover
from siskinshift.agent.http_requests import HttpRequest
from siskinshift.agent.request_runner import RequestRunner
from siskinshift.agent.upstream_connections import UpstreamConnections
from siskinshift.control.server import ControlRoutes
from siskinshift.control.server import ControlServer
from siskinshift.core.clocks import monotonic_clock
from siskinshift.core.errors import ErrorKind
from siskinshift.core.views import make_view
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import OutcomeKind
from siskinshift.messages.load import CancelRun
from siskinshift.messages.load import LoadReceipt
from siskinshift.messages.load import ReleaseSlot
from siskinshift.messages.load import ReserveSlot
from siskinshift.messages.load import ReserveSlotReply
from siskinshift.messages.load import RunRequest
from siskinshift.messages.load import RunRequestReply
from siskinshift.messages.load import UsageSums
from siskinshift.observability.telemetry import Telemetry
from siskinshift.runtime.counters import Counters
from siskinshift.standins.http_upstream import HttpUpstreamStandIn
from tests.load.builders import SERVICE
from tests.load.builders import a_gate
from tests.load.builders import a_request
from tests.load.builders import a_service
from tests.load.builders import an_agent


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from siskinshift.agent.http_requests import Headers
    from siskinshift.core.keyring import KeyRing
    from siskinshift.settings.generated import Settings


LOOPBACK = "127.0.0.1"
WAIT_SECONDS = 20.0


class RecordedResponse:
    """Records the response to a caller: the status or the error kind."""

    def __init__(self) -> None:
        self.outcome: Future[int | ErrorKind] = Future()
        self.status = 0

    def start(self, status: int, headers: Headers) -> None:
        self.status = status

    def write(self, chunk: bytes) -> None:
        pass

    def end(self) -> None:
        self.outcome.set_result(self.status)

    def abort(self) -> None:
        self.outcome.set_result(ErrorKind.INTERNAL)

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        self.outcome.set_result(error)


class FakePeer:
    """A peer that grants all reservations and runs requests as the test sets."""

    def __init__(self, key_ring: KeyRing, executor: ThreadPoolExecutor) -> None:
        self.runs: list[RunRequest] = []
        self.on_run: Callable[[RunRequest], RunRequestReply] = self.run
        self.on_grant: Callable[[], None] = lambda: None
        self.cancelled = threading.Event()
        routes = ControlRoutes()
        routes.route(RESERVE_PATH, ReserveSlot)(self._on_reserve)
        routes.route(RELEASE_PATH, ReleaseSlot)(lambda _: LoadReceipt())
        routes.route(USAGE_PATH, UsageSums)(lambda _: LoadReceipt())
        routes.route(CANCEL_PATH, CancelRun)(self._on_cancel)
        routes.route(RUN_PATH, RunRequest)(lambda message: self.on_run(message))
        self.server = ControlServer(
            endpoint=Endpoint(LOOPBACK, 0),
            routes=routes,
            key_ring=key_ring,
            executor=executor,
        )
        host, port = self.server.server_address[:2]
        self.endpoint = Endpoint(str(host), port)
        executor.submit(self.server.serve_forever, 0.01)

    def run(self, message: RunRequest) -> RunRequestReply:
        self.runs.append(message)
        return RunRequestReply(outcome=OutcomeKind.ANSWERED, status=201)

    def stop_listening(self) -> None:
        # Stop the loop first: connections are accepted as long as it polls.
        self.server.shutdown()
        self.server.server_close()

    def close(self) -> None:
        self.stop_listening()
        self.server.close_connections()

    def _on_reserve(self, _message: ReserveSlot) -> ReserveSlotReply:
        self.on_grant()
        return ReserveSlotReply(granted=True)

    def _on_cancel(self, _message: CancelRun) -> LoadReceipt:
        self.cancelled.set()
        return LoadReceipt()


class AgentUnderTest:
    """A runner whose only slot is occupied by a long request, with one peer."""

    def __init__(
        self,
        settings: Settings,
        key_ring: KeyRing,
        executor: ThreadPoolExecutor,
        *,
        long_milliseconds: int = 300,
    ) -> None:
        self.upstream = HttpUpstreamStandIn(
            name="home", endpoint=Endpoint(LOOPBACK, 0), slots=1
        )
        self.upstream.start()
        self.peer = FakePeer(key_ring, executor)
        # The gate and the runner share one clock.
        now = monotonic_clock()
        self.runner = RequestRunner(
            gate=a_gate("a", peers=("b",), now=now, queue_time_limit=60.0),
            connections=UpstreamConnections(self.upstream.endpoint),
            max_requests=10,
            spawn=executor.submit,
            clock=monotonic_clock,
            telemetry=Telemetry(settings, clock=monotonic_clock),
            is_leaving=lambda: False,
        )
        self.handover = RequestHandover(
            member_id="a",
            upstream_class=SERVICE,
            runner=self.runner,
            routes=ControlRoutes(),
            key_ring=key_ring,
            spawn=executor.submit,
            clock=monotonic_clock,
            counters=Counters(),
            random=Random(1),
        )
        peer = attrs.evolve(an_agent("b"), control=self.peer.endpoint)
        members = (an_agent("a"), peer)
        view = make_view(version=1, services=(a_service(),), members=members)
        self.handover.update(view)
        self.long_request = self.submit(1, f"/work?ms={long_milliseconds}")
        while not self.upstream.run_counts_by_request_id["1"]:
            threading.Event().wait(0.005)

    def submit(
        self, request_id: int, path: str, *, timeout: float = 20.0
    ) -> RecordedResponse:
        now = monotonic_clock()
        response = RecordedResponse()
        http_request = HttpRequest(
            request=a_request(request_id, now=now, deadline=now + timeout),
            method="POST",
            path=path,
            headers=(("x-request-id", str(request_id)),),
            body=b"section 4",
            writer=response,
        )
        self.runner.submit(http_request)
        return response

    def close(self) -> None:
        self.handover.close()
        self.peer.close()
        self.upstream.stop()


@pytest.fixture
def agent(settings: Settings, key_ring: KeyRing) -> Iterator[AgentUnderTest]:
    with ThreadPoolExecutor(32) as executor:
        agent = AgentUnderTest(settings, key_ring, executor)
        yield agent
        agent.long_request.outcome.result(WAIT_SECONDS)
        agent.close()


@pytest.fixture
def busy_agent(settings: Settings, key_ring: KeyRing) -> Iterator[AgentUnderTest]:
    """An agent whose slot is occupied until the handover is done on a busy machine."""
    with ThreadPoolExecutor(32) as executor:
        agent = AgentUnderTest(settings, key_ring, executor, long_milliseconds=4000)
        yield agent
        agent.long_request.outcome.result(WAIT_SECONDS)
        agent.close()


def test_a_queued_request_runs_at_a_peer_and_its_response_is_relayed(
    busy_agent: AgentUnderTest,
) -> None:
    agent = busy_agent
    response = agent.submit(2, "/work")

    assert response.outcome.result(WAIT_SECONDS) == 201
    (run,) = agent.peer.runs
    assert run.body == b"section 4"
    assert agent.upstream.run_counts_by_request_id["2"] == 0


def test_a_request_runs_locally_when_the_peer_dies_after_the_reservation(
    agent: AgentUnderTest,
) -> None:
    """Guards against a lost request, or "may have run" for one that did not run.

    The peer stops after it granted a slot. The connection is refused, so no byte was
    sent and the request runs at its own agent.
    """
    agent.peer.on_grant = agent.peer.stop_listening

    response = agent.submit(2, "/work")

    assert response.outcome.result(WAIT_SECONDS) == 200
    assert agent.peer.runs == []
    assert agent.upstream.run_counts_by_request_id["2"] == 1


def test_a_response_lost_after_the_run_is_reported_as_unknown(
    busy_agent: AgentUnderTest,
) -> None:
    """Guards against a second run of a request that is not repeatable.

    The peer runs it and its connection breaks before the response. The caller gets
    "unknown", and neither the peer nor the own upstream runs it again.
    """
    agent = busy_agent

    def run_and_disconnect(message: RunRequest) -> RunRequestReply:
        agent.peer.runs.append(message)
        agent.peer.server.close_connections()
        return RunRequestReply(outcome=OutcomeKind.ANSWERED, status=201)

    agent.peer.on_run = run_and_disconnect

    response = agent.submit(2, "/work")

    assert response.outcome.result(WAIT_SECONDS) is ErrorKind.UPSTREAM_FAILED
    agent.long_request.outcome.result(WAIT_SECONDS)
    assert len(agent.peer.runs) == 1
    assert agent.upstream.run_counts_by_request_id["2"] == 0


def test_a_request_that_the_peer_did_not_run_runs_locally(
    agent: AgentUnderTest,
) -> None:
    """The peer refuses the run, as its reservation expired before the request came."""
    agent.peer.on_run = lambda _: RunRequestReply(outcome=OutcomeKind.NOT_RUN)

    response = agent.submit(2, "/work")

    assert response.outcome.result(WAIT_SECONDS) == 200
    assert agent.upstream.run_counts_by_request_id["2"] == 1


def test_a_cancel_is_forwarded_to_the_peer(
    busy_agent: AgentUnderTest,
) -> None:
    """Guards against a peer's upstream that keeps running a cancelled request."""
    agent = busy_agent
    running = threading.Event()

    def run_until_cancelled(_message: RunRequest) -> RunRequestReply:
        running.set()
        assert agent.peer.cancelled.wait(WAIT_SECONDS)
        return RunRequestReply(outcome=OutcomeKind.UNKNOWN)

    agent.peer.on_run = run_until_cancelled
    response = agent.submit(2, "/work")
    assert running.wait(WAIT_SECONDS)

    agent.runner.cancel(2)

    assert response.outcome.result(WAIT_SECONDS) is ErrorKind.CANCELLED_RUNNING
