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
WATCH_POLL_SECONDS = 0.2


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
            status, response = stand_in.handle(self.path, request)
        except ResponseLost:
            self.close_connection = True
            return
        except (orjson.JSONDecodeError, KeyError, ValueError):
            status, response = HTTPStatus.BAD_REQUEST, {"error": "bad request"}
        self._send(status, stand_in.faults.garbage or orjson.dumps(response))

    def _send(self, status: HTTPStatus, data: bytes) -> None:
        self.send_response(status)
        self._send_store_headers()
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def _send_store_headers(self) -> None:
        for name, value in self.server.stand_in.headers.items():
            self.send_header(name, value)

    def _serve_watch(self, create: dict[str, Any]) -> None:
        stand_in = self.server.stand_in
        rejection_status = stand_in.admit_watch()
        if rejection_status is not None:
            self._send(rejection_status, b"{}")
            return
        self.close_connection = True
        self.send_response(HTTPStatus.OK)
        self._send_store_headers()
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
        """Disables the request log of the base class."""


class _KvServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    stand_in: KvStandIn

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignores errors: tests include clients that disconnect early."""


class KvStandIn:
    """Serves the used subset of the etcd v3 JSON API, with injectable faults."""

    def __init__(self, endpoint: Endpoint, *, era: int | None = None) -> None:
        """Binds the server.

        Args:
            endpoint: Endpoint to bind; port 0 chooses a free port.
            era: First value of the header `Store-Era`; None sends none.
        """
        self._state = KvState(monotonic_clock, era=era)
        self._changed = threading.Condition()
        self._is_stopped = False
        self._server = _KvServer((endpoint.host, endpoint.port), _KvHandler)
        self._server.stand_in = self
        self._executor = ThreadPoolExecutor(1, "kv")

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint on which it listens."""
        host, port = self._server.server_address[:2]
        return Endpoint(str(host), int(port))

    @property
    def faults(self) -> KvFaults:
        """Injected faults; set their fields to change them."""
        return self._state.faults

    @property
    def available(self) -> bool:
        """Whether requests are served; set it to False to simulate an outage."""
        return not self._state.faults.down

    @available.setter
    def available(self, value: bool) -> None:
        with self._changed:
            self._state.faults.down = not value
            self._changed.notify_all()

    @property
    def request_count(self) -> int:
        """Number of requests received so far; a watch counts as one."""
        return sum(self._state.request_counts_by_path.values())

    def request_counts_by_path(self) -> dict[str, int]:
        """Returns how often each path was requested.

        Returns:
            Number of requests received so far, by path.
        """
        with self._changed:
            return dict(self._state.request_counts_by_path)

    def lapse_leases(self) -> None:
        """Expires all leases at once."""
        with self._changed:
            self._state.lapse_leases()
            self._changed.notify_all()

    @property
    def headers(self) -> dict[str, str]:
        """Headers of all responses."""
        return self._state.headers

    def restore(self, *, age: float, pause: float = 0.0) -> None:
        """Restores the store from a copy; watches end. See `KvState.restore`."""
        with self._changed:
            self._state.restore(age=age, pause=pause)
            self._changed.notify_all()

    def start(self) -> None:
        """Starts serving."""
        self._executor.submit(self._server.serve_forever, 0.1)

    def stop(self) -> None:
        """Stops serving and closes the socket."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify_all()
        self._server.shutdown()
        self._server.server_close()
        self._executor.shutdown(wait=True)

    def handle(
        self, path: str, body: dict[str, Any]
    ) -> tuple[HTTPStatus, dict[str, Any]]:
        """Handles a request.

        Args:
            path: Path of the URL.
            body: Decoded JSON.

        Returns:
            Status and JSON of the response.

        Raises:
            ResponseLost: The response, or the request itself, is dropped.
        """
        with self._changed:
            try:
                return self._state.handle(path, body)
            finally:
                self._changed.notify_all()

    def admit_watch(self) -> HTTPStatus | None:
        """Counts a watch and checks whether it may be served.

        Returns:
            None, or the status to reject it with.
        """
        with self._changed:
            return self._state.admit_request(WATCH_PATH)

    def next_watch_result(self, create: dict[str, Any]) -> dict[str, Any] | None:
        """Waits for the next changes of a watch.

        Args:
            create: The create request of the watch; its start revision is advanced.

        Returns:
            The "result" of a line, or None if the watch has to end.
        """
        with self._changed:
            era = self._state.era
            while not self._is_stopped and not self._state.faults.down:
                if self._state.era != era:
                    return None
                result, next_revision = self._state.events_from(create)
                create["start_revision"] = str(next_revision)
                if "events" in result or "canceled" in result:
                    return result
                self._changed.wait(WATCH_POLL_SECONDS)
        return None
