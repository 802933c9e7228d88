"""Tests of the HTTP server and the HTTP client against each other."""

from __future__ import annotations

import contextlib
import os
import socket
import threading
import time
from typing import TYPE_CHECKING

import pytest

from siskinshift.observability.event_log import EventLog
from siskinshift.runtime import http_client
from siskinshift.runtime.http_client import HttpClient
from siskinshift.runtime.http_client import RequestNotSentError
from siskinshift.runtime.http_client import ResponseLostError
from siskinshift.runtime.http_server import HttpRequest
from siskinshift.runtime.http_server import HttpServer
from siskinshift.runtime.http_server import ServerResponse
from siskinshift.runtime.life_cycle import LifeCycle


if TYPE_CHECKING:
    from collections.abc import Iterator


class _Echo:
    """Echoes requests; requests of the path /wait block until `hold` is set."""

    def __init__(self) -> None:
        self.hold = threading.Event()
        self.requests: list[HttpRequest] = []

    def __call__(self, request: HttpRequest) -> ServerResponse:
        self.requests.append(request)
        if request.path == "/wait":
            self.hold.wait(5.0)
        if request.path == "/broken":
            raise ValueError("broken")
        if request.path == "/lost":
            raise ConnectionAbortedError
        return ServerResponse(200, request.body or request.query.encode())


@pytest.fixture
def life_cycle() -> Iterator[LifeCycle]:
    life_cycle = LifeCycle(name="test")
    yield life_cycle
    life_cycle.stop()


@pytest.fixture
def echo() -> Iterator[_Echo]:
    echo = _Echo()
    yield echo
    echo.hold.set()


@pytest.fixture
def server(life_cycle: LifeCycle, echo: _Echo) -> HttpServer:
    log = EventLog(process="test", clock=time.monotonic, descriptor=os.dup(2))
    server = HttpServer(life_cycle, "127.0.0.1", 0, echo, log=log)
    life_cycle.add_cleanup(server.close)
    server.start()
    return server


@pytest.fixture
def client(server: HttpServer) -> Iterator[HttpClient]:
    client = HttpClient("127.0.0.1", server.port, connect_timeout=1.0)
    yield client
    client.close()


def test_requests_share_one_connection(client: HttpClient, echo: _Echo) -> None:
    assert client.request("POST", "/a", b"body", timeout=2.0).body == b"body"
    assert client.request("GET", "/a?q=1", timeout=2.0).body == b"q=1"
    assert echo.requests[0] == HttpRequest("POST", "/a", b"body")
    assert echo.requests[1] == HttpRequest("GET", "/a", b"", "q=1")


def test_a_large_body_is_transferred_completely(client: HttpClient) -> None:
    body = os.urandom(500_000)

    assert client.request("POST", "/a", body, timeout=5.0).body == body


def test_a_request_after_a_timeout_uses_a_new_connection(
    client: HttpClient, echo: _Echo
) -> None:
    """Guards against reuse of an unresponsive connection while new ones work."""
    with pytest.raises(ResponseLostError):
        client.request("GET", "/wait", timeout=0.1)

    assert client.request("POST", "/a", b"x", timeout=2.0).status == 200


def test_a_connection_closed_without_a_response_is_a_lost_response(
    client: HttpClient,
) -> None:
    with pytest.raises(ResponseLostError):
        client.request("POST", "/lost", timeout=2.0)


def test_a_failed_handler_sends_a_response_and_keeps_the_connection(
    client: HttpClient,
) -> None:
    assert client.request("GET", "/broken", timeout=2.0).status == 400
    assert client.request("POST", "/a", b"x", timeout=2.0).status == 200


def test_a_refused_connection_is_a_request_not_sent() -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        client = HttpClient(*unused.getsockname(), connect_timeout=0.5)
        with pytest.raises(RequestNotSentError):
            client.request("GET", "/", timeout=0.5)


def test_malformed_data_closes_the_connection(server: HttpServer) -> None:
    with socket.create_connection(("127.0.0.1", server.port), 2.0) as connection:
        connection.sendall(b"\x00\x01nonsense\r\n\r\n")
        assert connection.recv(100) == b""


def test_a_long_response_on_a_slow_link_is_read_to_its_end() -> None:
    """Guards against a balancer that repeatedly aborts reading a long configuration.

    On a link of 5 Mbit/s the response takes longer than the timeout. After a restart of
    all balancers, repeated requests left callers unserved for two seconds although
    upstreams were free.
    """
    pieces, pause = 15, 0.1
    timeout = pieces * pause * 0.7
    body = b"x" * 100 * pieces

    def respond_slowly(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(1000)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1500\r\n\r\n")
            for number in range(pieces):
                time.sleep(pause)
                connection.sendall(body[number * 100 : (number + 1) * 100])

    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(target=respond_slowly, args=(listener,), daemon=True)
        server.start()
        client = HttpClient(*listener.getsockname(), connect_timeout=1.0)
        response = client.request("GET", "/", timeout=timeout)
        client.close()
        server.join()

    assert response.body == body


def test_a_long_response_is_not_aborted_while_it_makes_progress(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a balancer that stays on an old configuration.

    At a tenth of 5 Mbit/s a configuration of 1.5 megabytes takes 22 s. If each attempt
    were aborted after ten seconds, none would be complete.
    """
    monkeypatch.setattr(http_client, "MAX_SLOW_SECONDS", 0.1)
    pieces, size = 10, 40_000

    def respond_at_length(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(1000)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {pieces * size}\r\n\r\n"
            connection.sendall(head.encode())
            for _ in range(pieces):
                time.sleep(0.1)
                connection.sendall(b"x" * size)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(
            target=respond_at_length, args=(listener,), daemon=True
        )
        server.start()
        client = HttpClient(*listener.getsockname(), connect_timeout=1.0)
        response = client.request("GET", "/", timeout=0.5)
        client.close()
        server.join()

    assert len(response.body) == pieces * size


def test_a_trickling_response_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a slow response that occupies a task forever."""
    monkeypatch.setattr(http_client, "MAX_SLOW_SECONDS", 0.2)
    stopping = threading.Event()

    def trickle(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection, contextlib.suppress(OSError):
            connection.recv(1000)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n")
            while not stopping.wait(0.05):
                connection.sendall(b"x")

    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(target=trickle, args=(listener,), daemon=True)
        server.start()
        client = HttpClient(*listener.getsockname(), connect_timeout=1.0)
        with pytest.raises(ResponseLostError, match="too slow"):
            client.request("GET", "/", timeout=0.5)
        stopping.set()
        server.join()


def test_a_response_that_stops_half_way_is_lost() -> None:
    def respond_partially(listener: socket.socket, hold: threading.Event) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(1000)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1500\r\n\r\nx")
            hold.wait(10.0)

    hold = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        arguments = (listener, hold)
        server = threading.Thread(target=respond_partially, args=arguments, daemon=True)
        server.start()
        client = HttpClient(*listener.getsockname(), connect_timeout=1.0)
        with pytest.raises(ResponseLostError):
            client.request("GET", "/", timeout=0.2)
        hold.set()
        server.join()


def test_the_connect_timeout_is_extended_after_each_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lease of 6 s that expires while a link is full.

    A full link delays packets by 0.6 s. Each connection attempt with a timeout of 0.3 s
    fails, so the node can't reach the store.
    """
    timeouts: list[float | None] = []

    def time_out(connection: socket.socket, address: tuple[str, int]) -> None:
        timeouts.append(connection.gettimeout())
        raise TimeoutError

    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = HttpClient(*listener.getsockname(), connect_timeout=0.3)
        with monkeypatch.context() as patched:
            patched.setattr(socket.socket, "connect", time_out)
            for _ in range(4):
                with pytest.raises(RequestNotSentError):
                    client.request("GET", "/", timeout=0.6)
        with pytest.raises(ResponseLostError):
            client.request("GET", "/", timeout=0.05)
        monkeypatch.setattr(socket.socket, "connect", time_out)
        with pytest.raises(RequestNotSentError):
            client.request("GET", "/", timeout=0.6)

    assert timeouts == pytest.approx([0.3, 0.6, 1.2, 1.2, 0.3])


def test_closing_a_client_aborts_a_request_of_another_thread(
    life_cycle: LifeCycle,
) -> None:
    """Guards against a process that is killed after its shutdown grace period.

    The process ends with its last thread, and one waits for an unresponsive store.
    Closing the client aborts the request and prevents further ones.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = HttpClient(*listener.getsockname(), connect_timeout=1.0)
        waiting = life_cycle.spawn(lambda: client.request("GET", "/", timeout=60.0))
        connection, _ = listener.accept()
        with connection:
            connection.recv(1000)
            client.close()
            with pytest.raises(ResponseLostError):
                waiting.result(20.0)
        with pytest.raises(RequestNotSentError):
            client.request("GET", "/", timeout=60.0)


def test_closing_a_client_aborts_a_connection_attempt(
    life_cycle: LifeCycle,
) -> None:
    """The same while the client connects to a listener whose backlog is full."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        address = listener.getsockname()
        with contextlib.ExitStack() as queued:
            for _ in range(3):
                other = queued.enter_context(socket.socket())
                other.setblocking(False)
                other.connect_ex(address)
            client = HttpClient(*address, connect_timeout=60.0)
            waiting = life_cycle.spawn(lambda: client.request("GET", "/", timeout=60.0))
            with pytest.raises(TimeoutError):
                waiting.result(0.5)
            client.close()
            with pytest.raises(RequestNotSentError):
                waiting.result(20.0)
