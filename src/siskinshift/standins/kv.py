"""Stand-in for the platform's key-value service over HTTP."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import TYPE_CHECKING
from typing import Any

import orjson

from siskinshift.core.clocks import monotonic_clock
from siskinshift.messages.core import Endpoint
from siskinshift.standins.kv_state import KvState
from siskinshift.standins.kv_state import ResponseLost


if TYPE_CHECKING:
    from siskinshift.standins.kv_state import KvFaults


WATCH_PATH = "/v3/watch"
WATCH_TICK_SECONDS = 0.2


class _KvHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: _KvServer

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        stand_in = self.server.stand_in
        time.sleep(stand_in.faults.latency)
        try:
            request = orjson.loads(body)
            if self.path == WATCH_PATH:
                self._serve_watch(request["create_request"])
                return
            status, answer = stand_in.answer(self.path, request)
        except ResponseLost:
            self.close_connection = True
            return
        except (orjson.JSONDecodeError, KeyError, ValueError):
            status, answer = HTTPStatus.BAD_REQUEST, {"error": "bad request"}
        self._send(status, stand_in.faults.garbage or orjson.dumps(answer))

    def _send(self, status: HTTPStatus, data: bytes) -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def _serve_watch(self, create: dict[str, Any]) -> None:
        stand_in = self.server.stand_in
        refused = stand_in.open_watch()
        if refused is not None:
            self._send(refused, b"{}")
            return
        self.close_connection = True
        self.send_response(HTTPStatus.OK)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self._send_line({"header": {"revision": "1"}, "created": True})
        while (result := stand_in.next_watch_result(create)) is not None:
            self._send_line(result)
            if result.get("canceled"):
                return

    def _send_line(self, result: dict[str, Any]) -> None:
        line = orjson.dumps({"result": result}) + b"\n"
        self.wfile.write(b"%x\r\n%b\r\n" % (len(line), line))

    def log_message(self, format: str, *args: object) -> None:
        """Keeps quiet."""


class _KvServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    stand_in: KvStandIn

    def handle_error(self, request: object, client_address: object) -> None:
        """Keeps quiet: callers that gave up are part of the tests."""


class KvStandIn:
    """Answers the subset of the protocol that is used; can be made to fail."""

    def __init__(self, endpoint: Endpoint) -> None:
        """Binds the server.

        Args:
            endpoint: Where to listen; port 0 takes a free one.
        """
        self._state = KvState(monotonic_clock)
        self._changed = threading.Condition()
        self._stopped = False
        self._server = _KvServer((endpoint.host, endpoint.port), _KvHandler)
        self._server.stand_in = self
        self._executor = ThreadPoolExecutor(1, "kv")

    @property
    def endpoint(self) -> Endpoint:
        """Where it listens."""
        host, port = self._server.server_address[:2]
        return Endpoint(str(host), int(port))

    @property
    def faults(self) -> KvFaults:
        """What goes wrong; set its fields."""
        return self._state.faults

    @property
    def available(self) -> bool:
        """Whether calls are answered; set it to cut the store off."""
        return not self._state.faults.down

    @available.setter
    def available(self, value: bool) -> None:
        with self._changed:
            self._state.faults.down = not value
            self._changed.notify_all()

    @property
    def calls(self) -> int:
        """Calls taken so far; a watch counts as one."""
        return sum(self._state.request_counts_by_path.values())

    def request_counts_by_path(self) -> dict[str, int]:
        """Counts calls.

        Returns:
            Calls taken so far by path.
        """
        with self._changed:
            return dict(self._state.request_counts_by_path)

    def lapse_leases(self) -> None:
        """Ends all leases at once."""
        with self._changed:
            self._state.lapse_leases()
            self._changed.notify_all()

    def start(self) -> None:
        """Starts to answer."""
        self._executor.submit(self._server.serve_forever, 0.1)

    def stop(self) -> None:
        """Stops and closes the socket."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()
        self._server.shutdown()
        self._server.server_close()
        self._executor.shutdown(wait=True)

    def answer(
        self, path: str, body: dict[str, Any]
    ) -> tuple[HTTPStatus, dict[str, Any]]:
        """Answers one call.

        Args:
            path: Path of the URL.
            body: Decoded JSON.

        Returns:
            Status and JSON of the answer.

        Raises:
            ResponseLost: It took effect, but the caller is not to hear of it.
        """
        with self._changed:
            try:
                return self._state.answer(path, body)
            finally:
                self._changed.notify_all()

    def open_watch(self) -> HTTPStatus | None:
        """Counts a watch.

        Returns:
            None, or the status to refuse it with.
        """
        with self._changed:
            return self._state.count(WATCH_PATH)

    def next_watch_result(self, create: dict[str, Any]) -> dict[str, Any] | None:
        """Waits for the next changes that a watch has to see.

        Args:
            create: The watch's create request; its start revision is moved on.

        Returns:
            The "result" of a line, or None when the watch is to end.
        """
        with self._changed:
            while not self._stopped and not self._state.faults.down:
                result, following = self._state.events_from(create)
                create["start_revision"] = str(following)
                if "events" in result or "canceled" in result:
                    return result
                self._changed.wait(WATCH_TICK_SECONDS)
        return None
