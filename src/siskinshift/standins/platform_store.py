"""Stand-in of the platform's store, written from its published protocol.

No sockets and no threads in the state: the clock is injected. `PlatformStoreServer`
puts it behind HTTP.
"""

from __future__ import annotations

import base64
import time
from collections import Counter
from collections import deque
from http import HTTPStatus
from threading import Condition
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias
from urllib.parse import parse_qs

import orjson
from attrs import define
from attrs import frozen

from siskinshift.runtime.http_server import HttpReply
from siskinshift.runtime.http_server import HttpServer


if TYPE_CHECKING:
    from siskinshift.core.clocks import Clock
    from siskinshift.observability.event_log import EventLog
    from siskinshift.runtime.http_server import HttpRequest
    from siskinshift.runtime.life_cycle import LifeCycle


Document: TypeAlias = dict[str, Any]

FIRST_REVISION = 100
FIRST_LEASE_ID = 7000
PAGE_ITEMS = 500
MILLISECONDS = 1000.0
WAIT_STEP_SECONDS = 0.05


@define
class StoreFaults:
    """What goes wrong; set the fields while it runs.

    Attributes:
        rejection_status: Status that each call gets; 0 for none.
        lose_responses: Next writes that are done and not answered.
        latency: Pause before each answer, seconds.
    """

    rejection_status: int = 0
    lose_responses: int = 0
    latency: float = 0.0


@frozen
class _Item:
    value: str
    revision: int
    created: int
    lease: int


@define
class _Lease:
    ttl: float
    ends_at: float


class ResponseLost(ConnectionAbortedError):
    """The call took effect; its answer is not to be sent."""


class PlatformStoreState:
    """Keys, leases and history.

    Attributes:
        faults: What goes wrong.
        request_counts_by_path: Calls by path, also refused ones.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts empty.

        Args:
            clock: Clock of leases.
        """
        self.faults = StoreFaults()
        self.request_counts_by_path: Counter[str] = Counter()
        self._clock = clock
        self._revision = FIRST_REVISION
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease = FIRST_LEASE_ID
        self._history: deque[Document] = deque()
        self._kept_after = FIRST_REVISION

    def handle(
        self, method: str, path: str, query: str, body: bytes
    ) -> tuple[int, Document]:
        """Answers a call; a watch that has nothing to say answers without events.

        Args:
            method: HTTP method.
            path: Path.
            query: Query.
            body: Body.

        Returns:
            Status and document.

        Raises:
            ResponseLost: The call took effect; nothing is to be answered.
        """
        self.request_counts_by_path[path.split("/")[1]] += 1
        if self.faults.rejection_status:
            return self.faults.rejection_status, {}
        self._end_leases()
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        document = orjson.loads(body) if body else {}
        answer = self._dispatch(method, path, fields, document)
        if method != "GET" and self.faults.lose_responses:
            self.faults.lose_responses -= 1
            raise ResponseLost
        return answer

    def put(self, key: str, value: bytes) -> None:
        """Writes as the operator does."""
        self._put(key, base64.b64encode(value).decode(), 0)

    def value(self, key: str) -> bytes | None:
        """Reads a value; None when the key is absent."""
        self._end_leases()
        item = self._items.get(key)
        return base64.b64decode(item.value) if item else None

    def key_names(self) -> list[str]:
        """Lists all keys."""
        self._end_leases()
        return sorted(self._items)

    def revoke(self, key: str) -> None:
        """Removes a key, as the operator does or without a word to its owner."""
        self._delete(key)

    def compact(self) -> None:
        """Drops all history."""
        self._history.clear()
        self._kept_after = self._revision

    def expire_all_leases(self) -> None:
        """Ends all leases, as while the store is away."""
        for lease in self._leases.values():
            lease.ends_at = self._clock()
        self._end_leases()

    def _dispatch(
        self, method: str, path: str, fields: dict[str, str], document: Document
    ) -> tuple[int, Document]:
        if path == "/kv-key":
            return self._read_key(fields["key"])
        if path == "/kv-range":
            return self._read_range(fields["prefix"], fields.get("after", ""))
        if path == "/kv-watch":
            return self._read_watch(fields["prefix"], int(fields["after"]))
        if path == "/kv-txn":
            return self._transact(document)
        if path == "/kv-lease":
            return self._grant(document["ttl-ms"])
        lease_id = int(path.rsplit("/", 1)[1])
        if method == "DELETE":
            return self._end_lease(lease_id)
        return self._keep(lease_id)

    def _read_key(self, key: str) -> tuple[int, Document]:
        item = self._items.get(key)
        if item is None:
            return HTTPStatus.NOT_FOUND, {"as-of": self._revision}
        return HTTPStatus.OK, {**_document(key, item), "as-of": self._revision}

    def _read_range(self, prefix: str, after: str) -> tuple[int, Document]:
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [_document(key, self._items[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        answer = {"items": page, "has-more": more, "as-of": self._revision}
        return HTTPStatus.OK, answer

    def _read_watch(self, prefix: str, after: int) -> tuple[int, Document]:
        if after < self._kept_after:
            return HTTPStatus.GONE, {}
        events = [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        return HTTPStatus.OK, {"events": events, "as-of": self._revision}

    def _transact(self, document: Document) -> tuple[int, Document]:
        for condition in document["expect-rev"]:
            item = self._items.get(condition["key"])
            if (item.revision if item else 0) != condition["revision"]:
                return HTTPStatus.PRECONDITION_FAILED, {"items": []}
        leases = {put.get("lease", 0) for put in document["set-keys"]}
        if leases - set(self._leases) - {0}:
            return HTTPStatus.NOT_FOUND, {}
        for put in document["set-keys"]:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in document["delete-keys"]:
            self._delete(key)
        return HTTPStatus.OK, {"revision": self._revision}

    def _grant(self, ttl_ms: int) -> tuple[int, Document]:
        self._next_lease += 1
        ttl = ttl_ms / MILLISECONDS
        self._leases[self._next_lease] = _Lease(ttl, self._clock() + ttl)
        return HTTPStatus.OK, {"lease": self._next_lease, "ttl-ms": ttl_ms}

    def _keep(self, lease_id: int) -> tuple[int, Document]:
        lease = self._leases.get(lease_id)
        if lease is None:
            return HTTPStatus.NOT_FOUND, {}
        lease.ends_at = self._clock() + lease.ttl
        return HTTPStatus.OK, {"ttl-ms": round(lease.ttl * MILLISECONDS)}

    def _end_lease(self, lease_id: int) -> tuple[int, Document]:
        lease = self._leases.get(lease_id)
        if lease is None:
            return HTTPStatus.NOT_FOUND, {}
        lease.ends_at = self._clock()
        self._end_leases()
        return HTTPStatus.OK, {}

    def _end_leases(self) -> None:
        now = self._clock()
        ended = {i for i, lease in self._leases.items() if lease.ends_at <= now}
        for lease_id in ended:
            del self._leases[lease_id]
        for key, item in tuple(self._items.items()):
            if item.lease in ended:
                self._delete(key)

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        before = self._items.get(key)
        created = before.created if before else self._revision
        item = _Item(value, self._revision, created, lease)
        self._items[key] = item
        self._history.append(_document(key, item))

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._history.append(
                {"key": key, "revision": self._revision, "removed": True}
            )


class PlatformStoreServer:
    """The stand-in behind HTTP on loopback.

    Attributes:
        state: Its content; change it through `change` while it serves.
        port: Port it listens at.
    """

    def __init__(self, owner: LifeCycle, *, log: EventLog) -> None:
        """Binds a free port.

        Args:
            owner: Runs its tasks.
            log: Takes faults of the stand-in itself.
        """
        self.state = PlatformStoreState(time.monotonic)
        self._owner = owner
        self._changed = Condition()
        self._server = HttpServer(owner, "127.0.0.1", 0, self._answer, log=log)
        self.port = self._server.port

    def start(self) -> None:
        """Starts to serve."""
        self._owner.owns(self._server.close)
        self._server.start()

    def put(self, key: str, value: bytes) -> None:
        """Writes as the operator does and wakes watches."""
        with self._changed:
            self.state.put(key, value)
            self._changed.notify_all()

    def revoke(self, key: str) -> None:
        """Removes a key as the operator does and wakes watches."""
        with self._changed:
            self.state.revoke(key)
            self._changed.notify_all()

    def _answer(self, request: HttpRequest) -> HttpReply:
        wait_ms = float(parse_qs(request.query).get("wait-ms", ["0"])[0])
        until = time.monotonic() + wait_ms / MILLISECONDS
        with self._changed:
            while True:
                status, document = self.state.handle(
                    request.method, request.path, request.query, request.body
                )
                is_idle = wait_ms and not document.get("events", True)
                if not is_idle or time.monotonic() >= until:
                    break
                if self._owner.stopping.is_set():
                    break
                self._changed.wait(WAIT_STEP_SECONDS)
            self._changed.notify_all()
        if self.state.faults.latency:
            time.sleep(self.state.faults.latency)
        return HttpReply(status, orjson.dumps(document))


def _document(key: str, item: _Item) -> Document:
    return {
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }
