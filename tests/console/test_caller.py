"""Tests of `standin caller` against addresses that give no usable response."""

from __future__ import annotations

import socket
import sys
from typing import TYPE_CHECKING

import pytest

from siskinshift.console import caller
from siskinshift.console.application import main
from siskinshift.console.caller import CallerRequest
from siskinshift.console.caller import send_requests
from siskinshift.demo.http3_client import ConnectionLostError
from siskinshift.demo.http3_client import Response
from siskinshift.messages.core import Endpoint


if TYPE_CHECKING:
    from concurrent.futures import Executor
    from concurrent.futures import Future


REQUEST = CallerRequest("GET", "/", {}, b"")
ADDRESS = Endpoint("127.0.0.1", 9443)
SHORT_TIMEOUT_SECONDS = 0.2


def test_an_address_that_does_not_respond_is_reported_in_one_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a traceback when a request gets no response."""
    monkeypatch.setattr(caller, "RESPONSE_TIMEOUT_SECONDS", SHORT_TIMEOUT_SECONDS)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent:
        silent.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        monkeypatch.setattr(sys, "argv", ["siskinshift", "standin", "caller", address])
        with pytest.raises(SystemExit) as exited:
            main()

    assert exited.value.code == 8
    assert capsys.readouterr().err == (
        f"siskinshift: peer_unreachable: {address}: no connection within 0.2 s\n"
    )


class _ScriptedClient:
    """Completes each request with the next scripted result.

    Attributes:
        results: Results still to come, shared by all connections.
        opened: Number of connections.
    """

    results: list[Response | Exception]
    opened = 0
    is_connected = True
    is_closed = False

    def __init__(self, _address: Endpoint, *, executor: Executor) -> None:
        self._executor = executor
        self.goaway_received = False
        type(self).opened += 1

    def request(self, *_arguments: str, **_options: object) -> Future[Response]:
        result = self.results.pop(0)
        self.goaway_received = isinstance(result, Response) and result.status == 503

        def complete() -> Response:
            if isinstance(result, Exception):
                raise result
            return result

        return self._executor.submit(complete)

    def close(self) -> None:
        """Does nothing."""


def _script(
    monkeypatch: pytest.MonkeyPatch, *results: Response | Exception
) -> type[_ScriptedClient]:
    client_type = type("Client", (_ScriptedClient,), {"results": list(results)})
    monkeypatch.setattr(caller, "Http3Client", client_type)
    return client_type


def _refusal() -> Response:
    return Response(
        fields={
            ":status": "503",
            "siskinshift-outcome": "not_run",
            "siskinshift-error": "no_upstream",
            "retry-after": "5",
        }
    )


def test_a_refusal_is_printed_with_its_kind_and_sets_the_exit_status(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against exit status 0 and an unnamed reason for a refused request."""
    answer = Response(fields={":status": "200"}, body=bytearray(b"done"))
    client_type = _script(monkeypatch, _refusal(), answer)

    assert send_requests(ADDRESS, REQUEST, count=2) == 8

    assert capsys.readouterr().out.splitlines() == [
        "503 not_run no_upstream retry after 5 s",
        "200 answered done",
    ]
    # The agent asked for a new connection.
    assert client_type.opened == 2


def test_a_lost_connection_ends_the_command_with_the_unknown_outcome(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a traceback when the connection ends during a request."""
    _script(monkeypatch, ConnectionLostError("stream reset"))
    arguments = ["siskinshift", "standin", "caller", "127.0.0.1:9443"]
    monkeypatch.setattr(sys, "argv", arguments)

    with pytest.raises(SystemExit) as exited:
        main()

    assert exited.value.code == 7
    assert capsys.readouterr().err == (
        "siskinshift: outcome_unknown: 127.0.0.1:9443: no complete response:"
        " stream reset\n"
    )
