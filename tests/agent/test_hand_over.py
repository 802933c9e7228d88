"""Requests handed over to a peer over real control HTTP."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.agent.calls import Call
from siskinshift.agent.hand_over import CANCEL_PATH
from siskinshift.agent.hand_over import RELEASE_PATH
from siskinshift.agent.hand_over import RESERVE_PATH
from siskinshift.agent.hand_over import RUN_PATH
from siskinshift.agent.hand_over import USAGE_PATH
from siskinshift.agent.hand_over import HandOver
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

    from siskinshift.agent.calls import Headers
    from siskinshift.core.keyring import KeyRing
    from siskinshift.settings.generated import Settings


LOOPBACK = "127.0.0.1"
WAIT_SECONDS = 20.0


class Reply:
    """What a caller hears: its status, or the error kind."""

    def __init__(self) -> None:
        self.heard: Future[int | ErrorKind] = Future()
        self.status = 0

    def start(self, status: int, headers: Headers) -> None:
        self.status = status

    def data(self, chunk: bytes) -> None:
        pass

    def end(self) -> None:
        self.heard.set_result(self.status)

    def abort(self) -> None:
        self.heard.set_result(ErrorKind.INTERNAL)

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        self.heard.set_result(error)


class Peer:
    """A peer that grants each of them and does with runs what the test says."""

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
        # The loop ends first: while it polls, the system goes on to take connections.
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


class Home:
    """An agent's runner with one slot, held by a long request, and one peer."""

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
        self.peer = Peer(key_ring, executor)
        # The gate's time and the runner's are one clock.
        now = monotonic_clock()
        self.runner = RequestRunner(
            gate=a_gate("a", peers=("b",), now=now, queue_time_limit=60.0),
            connections=UpstreamConnections(self.upstream.endpoint),
            held_maximum=10,
            spawn=executor.submit,
            clock=monotonic_clock,
            telemetry=Telemetry(settings, clock=monotonic_clock),
            is_leaving=lambda: False,
        )
        self.hand_over = HandOver(
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
        self.hand_over.update(view)
        self.long_one = self.submit(1, f"/work?ms={long_milliseconds}")
        while not self.upstream.runs_by_id["1"]:
            threading.Event().wait(0.005)

    def submit(self, request_id: int, path: str, *, patience: float = 20.0) -> Reply:
        now = monotonic_clock()
        reply = Reply()
        call = Call(
            request=a_request(request_id, now=now, deadline=now + patience),
            method="POST",
            path=path,
            headers=(("x-request-id", str(request_id)),),
            body=b"section 4",
            reply=reply,
        )
        self.runner.submit(call)
        return reply

    def close(self) -> None:
        self.hand_over.close()
        self.peer.close()
        self.upstream.stop()


@pytest.fixture
def home(settings: Settings, key_ring: KeyRing) -> Iterator[Home]:
    with ThreadPoolExecutor(32) as executor:
        home = Home(settings, key_ring, executor)
        yield home
        home.long_one.heard.result(WAIT_SECONDS)
        home.close()


@pytest.fixture
def busy_home(settings: Settings, key_ring: KeyRing) -> Iterator[Home]:
    """A home whose slot stays taken for longer than a loaded machine needs to ask."""
    with ThreadPoolExecutor(32) as executor:
        home = Home(settings, key_ring, executor, long_milliseconds=4000)
        yield home
        home.long_one.heard.result(WAIT_SECONDS)
        home.close()


def test_a_queued_save_runs_at_a_peer_and_its_answer_comes_back(
    busy_home: Home,
) -> None:
    home = busy_home
    save = home.submit(2, "/work")

    assert save.heard.result(WAIT_SECONDS) == 201
    (run,) = home.peer.runs
    assert run.body == b"section 4"
    assert home.upstream.runs_by_id["2"] == 0


def test_a_save_whose_peer_dies_between_reserve_and_run_runs_at_home(
    home: Home,
) -> None:
    """The caller would lose its save, or hear "may have run" of one that did not.

    The peer grants a slot and dies before the request reaches it. Its system refuses
    the connection, so no byte was offered; the save waits for the slot at home.
    """
    home.peer.on_grant = home.peer.stop_listening

    save = home.submit(2, "/work")

    assert save.heard.result(WAIT_SECONDS) == 200
    assert home.peer.runs == []
    assert home.upstream.runs_by_id["2"] == 1


def test_a_booking_whose_answer_is_lost_after_the_run_is_unknown(
    busy_home: Home,
) -> None:
    """A booking would be charged twice if anybody ran it again.

    The peer runs it and dies before it answers. The caller hears that it may have run;
    neither the peer nor the home upstream sees it again.
    """
    home = busy_home

    def run_and_die(message: RunRequest) -> RunRequestReply:
        home.peer.runs.append(message)
        home.peer.server.close_connections()
        return RunRequestReply(outcome=OutcomeKind.ANSWERED, status=201)

    home.peer.on_run = run_and_die

    booking = home.submit(2, "/work")

    assert booking.heard.result(WAIT_SECONDS) is ErrorKind.UPSTREAM_FAILED
    home.long_one.heard.result(WAIT_SECONDS)
    assert len(home.peer.runs) == 1
    assert home.upstream.runs_by_id["2"] == 0


def test_a_save_that_the_peer_says_did_not_run_runs_at_home(home: Home) -> None:
    """The peer gave the slot away, since the save came after its reservation's time."""
    home.peer.on_run = lambda _: RunRequestReply(outcome=OutcomeKind.NOT_RUN)

    save = home.submit(2, "/work")

    assert save.heard.result(WAIT_SECONDS) == 200
    assert home.upstream.runs_by_id["2"] == 1


def test_a_cancel_follows_a_request_to_its_peer(
    busy_home: Home,
) -> None:
    """The peer's upstream would work on for a caller that gave up."""
    home = busy_home
    running = threading.Event()

    def run_until_cancelled(_message: RunRequest) -> RunRequestReply:
        running.set()
        assert home.peer.cancelled.wait(WAIT_SECONDS)
        return RunRequestReply(outcome=OutcomeKind.UNKNOWN)

    home.peer.on_run = run_until_cancelled
    save = home.submit(2, "/work")
    assert running.wait(WAIT_SECONDS)

    home.runner.cancel(2)

    assert save.heard.result(WAIT_SECONDS) is ErrorKind.CANCELLED_RUNNING
