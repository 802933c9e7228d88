"""Stand-in for the platform's key-value service: the etcd v3 JSON subset used."""

from __future__ import annotations

import base64
import threading
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import TYPE_CHECKING
from typing import Any

import orjson
from attrs import frozen

from siskinshift.messages.core import Endpoint


if TYPE_CHECKING:
    from collections.abc import Callable


@frozen
class _Stored:
    value: str
    mod_revision: int


class _KvHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _KvServer

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        status, answer = self.server.stand_in.answer(self.path, orjson.loads(body))
        data = orjson.dumps(answer)
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, format: str, *args: object) -> None:
        """Keeps quiet."""


class _KvServer(ThreadingHTTPServer):
    daemon_threads = True
    stand_in: KvStandIn


class KvStandIn:
    """Answers range and txn; can be cut off.

    Attributes:
        available: Whether calls are answered; set it to cut the store off.
        calls: Calls taken so far.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        """Binds the server.

        Args:
            endpoint: Where to listen; port 0 takes a free one.
        """
        self.available = True
        self.calls = 0
        self._revision = 1
        self._stored_by_key: dict[bytes, _Stored] = {}
        self._lock = threading.Lock()
        self._server = _KvServer((endpoint.host, endpoint.port), _KvHandler)
        self._server.stand_in = self
        self._executor = ThreadPoolExecutor(1, "kv")
        self._answers_by_path: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
        }

    @property
    def endpoint(self) -> Endpoint:
        """Where it listens."""
        host, port = self._server.server_address[:2]
        return Endpoint(str(host), int(port))

    def start(self) -> None:
        """Starts to answer."""
        self._executor.submit(self._server.serve_forever, 0.1)

    def stop(self) -> None:
        """Stops and closes the socket."""
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
        """
        with self._lock:
            self.calls += 1
            if not self.available:
                return HTTPStatus.SERVICE_UNAVAILABLE, {}
            handler = self._answers_by_path.get(path)
            if handler is None:
                return HTTPStatus.NOT_FOUND, {}
            answer = handler(body)
            return HTTPStatus.OK, {"header": {"revision": str(self._revision)}} | answer

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        first = base64.b64decode(body["key"])
        last = base64.b64decode(body.get("range_end", "")) or first + b"\0"
        kvs = [
            {
                "key": base64.b64encode(key).decode(),
                "value": stored.value,
                "mod_revision": str(stored.mod_revision),
            }
            for key, stored in sorted(self._stored_by_key.items())
            if first <= key < last
        ]
        return {"kvs": kvs, "count": str(len(kvs))}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        if not all(self._holds(compare) for compare in body.get("compare", [])):
            return {"succeeded": False}
        self._revision += 1
        for operation in body.get("success", []):
            put = operation["request_put"]
            key = base64.b64decode(put["key"])
            self._stored_by_key[key] = _Stored(put["value"], self._revision)
        return {"succeeded": True}

    def _holds(self, compare: dict[str, Any]) -> bool:
        stored = self._stored_by_key.get(base64.b64decode(compare["key"]))
        mod_revision = stored.mod_revision if stored else 0
        return mod_revision == int(compare["mod_revision"])
