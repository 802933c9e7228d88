"""Stand-in for the platform's store, based on its published protocol.

`PlatformStoreState` uses no sockets and no threads, and its clock is injected.
`PlatformStoreServer` serves it over HTTP.
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
from attrs import Factory
from attrs import define
from attrs import frozen

from siskinshift.runtime.http_server import HttpServer
from siskinshift.runtime.http_server import ServerResponse
from siskinshift.standins.store_copies import StoreCopies


if TYPE_CHECKING:
    from siskinshift.core.clocks import Clock
    from siskinshift.observability.event_log import EventLog
    from siskinshift.runtime.http_server import HttpRequest
    from siskinshift.runtime.life_cycle import LifeCycle


Document: TypeAlias = dict[str, Any]

FIRST_REVISION = 100
FIRST_LEASE_ID = 7000
PAGE_ITEMS = 500
MILLISECONDS_PER_SECOND = 1000.0
WATCH_POLL_SECONDS = 0.05
ERA_HEADER = "Store-Era"
TRANSACTION_PATH = "/kv-txn"
# Conditions, writes and removals together.
MAX_TRANSACTION_ENTRIES = 32


@define
class StoreFaults:
    """Faults to inject; the fields may be set while the stand-in runs.

    Attributes:
        rejection_status: Status with which to reject every request; 0 for none.
        lose_responses: Number of upcoming writes that take effect but get no response.
        late_write_delays: Delays of upcoming transactions that get no response and
            take effect later, in seconds; different delays change their order.
        latency: Delay of each response, in seconds.
        lose_watch_responses: Number of upcoming watch responses with changes that are
            lost on a connection which stays open.
    """

    rejection_status: int = 0
    lose_responses: int = 0
    late_write_delays: list[float] = Factory(list)
    latency: float = 0.0
    lose_watch_responses: int = 0


@frozen
class _Item:
    value: str
    revision: int
    created_revision: int
    lease_id: int


@frozen
class _Lease:
    ttl: float
    expires_at: float


class ResponseLost(ConnectionAbortedError):
    """The request took effect, but no response may be sent."""


class PlatformStoreState:
    """Keys, leases and history.

    Attributes:
        faults: Faults to inject.
        request_counts_by_path: Number of requests by the first segment of their path,
            including rejected requests.
        era: Value of the header `Store-Era`; None sends none. Copies for `restore` are
            kept while it is set.
    """

    def __init__(self, clock: Clock, *, era: int | None = None) -> None:
        """Initializes an empty store.

        Args:
            clock: Clock of leases.
            era: First value of the header `Store-Era`; None sends none.
        """
        self.era = era
        self.faults = StoreFaults()
        self.request_counts_by_path: Counter[str] = Counter()
        self._clock = clock
        self._revision = FIRST_REVISION
        self._items_by_key: dict[str, _Item] = {}
        self._leases_by_id: dict[int, _Lease] = {}
        self._last_lease_id = FIRST_LEASE_ID
        self._history: deque[Document] = deque()
        self._compacted_revision = FIRST_REVISION
        self._unavailable_until = float("-inf")
        self._late_writes: list[tuple[float, Document]] = []
        self._copies = StoreCopies(
            clock,
            fields=(
                "_revision",
                "_items_by_key",
                "_leases_by_id",
                "_last_lease_id",
                "_history",
                "_compacted_revision",
            ),
        )
        self._copies.record(self)

    @property
    def headers(self) -> dict[str, str]:
        """Headers of all responses."""
        return {} if self.era is None else {ERA_HEADER: str(self.era)}

    def restore(self, *, age: float, pause: float = 0.0) -> None:
        """Restores the store from a copy, as in a drill.

        Writes since the copy are lost, and their revisions and lease ids are given out
        again. Leases of the copy start anew.

        Args:
            age: Age of the copy, seconds.
            pause: Time from now during which requests get no response, seconds.
        """
        self._copies.restore(self, age=age)
        self._unavailable_until = self._clock() + pause
        for lease_id in self._leases_by_id:
            self._set_expiry(lease_id, self._unavailable_until)
        if self.era is not None:
            self.era += 1
        self._record_copy()

    def handle(
        self, method: str, path: str, query: str, body: bytes
    ) -> tuple[int, Document]:
        """Handles a request; a watch without new events returns an empty list.

        Args:
            method: HTTP method.
            path: Path of the URL.
            query: Query of the URL.
            body: JSON body, or empty.

        Returns:
            Status and document of the response.

        Raises:
            ResponseLost: The request took effect or will take effect, or the store is
                being restored, and no response may be sent.
        """
        self.request_counts_by_path[path.split("/")[1]] += 1
        if self._clock() < self._unavailable_until:
            raise ResponseLost
        if self.faults.rejection_status:
            return self.faults.rejection_status, {}
        self._apply_late_writes()
        self._remove_expired_leases()
        parameters = {name: values[0] for name, values in parse_qs(query).items()}
        document = orjson.loads(body) if body else {}
        if path == TRANSACTION_PATH and self.faults.late_write_delays:
            due_at = self._clock() + self.faults.late_write_delays.pop(0)
            self._late_writes.append((due_at, document))
            raise ResponseLost
        response = self._dispatch(method, path, parameters, document)
        if method != "GET":
            self._record_copy()
        if method != "GET" and self.faults.lose_responses:
            self.faults.lose_responses -= 1
            raise ResponseLost
        return response

    def put(self, key: str, value: bytes) -> None:
        """Writes a value without a lease, as operators do."""
        self._revision += 1
        self._put(key, base64.b64encode(value).decode(), 0)
        self._record_copy()

    def value(self, key: str) -> bytes | None:
        """Returns a value, or None if the key does not exist."""
        self._apply_late_writes()
        self._remove_expired_leases()
        item = self._items_by_key.get(key)
        return base64.b64decode(item.value) if item else None

    def revision(self, key: str) -> int:
        """Returns the revision of a key, 0 if it does not exist."""
        self._apply_late_writes()
        self._remove_expired_leases()
        item = self._items_by_key.get(key)
        return item.revision if item else 0

    def key_names(self) -> list[str]:
        """Returns all keys in sorted order."""
        self._apply_late_writes()
        self._remove_expired_leases()
        return sorted(self._items_by_key)

    def revoke(self, key: str) -> None:
        """Deletes a key without notifying its owner, as operators do."""
        self._revision += 1
        self._delete(key)
        self._record_copy()

    def compact(self) -> None:
        """Compacts the history up to the current revision."""
        self._history.clear()
        self._compacted_revision = self._revision

    def expire_all_leases(self) -> None:
        """Expires all leases, as during an outage of the store."""
        for lease_id, lease in self._leases_by_id.items():
            self._set_expiry(lease_id, self._clock() - lease.ttl)
        self._remove_expired_leases()

    def _apply_late_writes(self) -> None:
        """Applies the late transactions that are due, if their conditions hold."""
        now = self._clock()
        due = sorted(
            (late for late in self._late_writes if late[0] <= now),
            key=lambda late: late[0],
        )
        self._late_writes = [late for late in self._late_writes if late[0] > now]
        for _, document in due:
            self._remove_expired_leases()
            self._transact(document)
            self._record_copy()

    def _dispatch(
        self, method: str, path: str, parameters: dict[str, str], document: Document
    ) -> tuple[int, Document]:
        if path == "/kv-key":
            return self._read_key(parameters["key"])
        if path == "/kv-range":
            return self._read_range(parameters["prefix"], parameters.get("after", ""))
        if path == "/kv-watch":
            return self._read_watch(parameters["prefix"], int(parameters["after"]))
        if path == TRANSACTION_PATH:
            return self._transact(document)
        if path == "/kv-lease":
            return self._grant_lease(document["ttl-ms"])
        lease_id = int(path.rsplit("/", 1)[1])
        if method == "DELETE":
            return self._revoke_lease(lease_id)
        return self._renew_lease(lease_id)

    def _read_key(self, key: str) -> tuple[int, Document]:
        item = self._items_by_key.get(key)
        if item is None:
            return HTTPStatus.NOT_FOUND, {"as-of": self._revision}
        return HTTPStatus.OK, {**_document(key, item), "as-of": self._revision}

    def _read_range(self, prefix: str, after: str) -> tuple[int, Document]:
        keys = sorted(
            k for k in self._items_by_key if k.startswith(prefix) and k > after
        )
        page = [_document(key, self._items_by_key[key]) for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        response = {"items": page, "has-more": has_more, "as-of": self._revision}
        return HTTPStatus.OK, response

    def _read_watch(self, prefix: str, after: int) -> tuple[int, Document]:
        if not self._compacted_revision <= after <= self._revision:
            return HTTPStatus.GONE, {}
        events = [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        return HTTPStatus.OK, {"events": events, "as-of": self._revision}

    def _transact(self, document: Document) -> tuple[int, Document]:
        lists = (document["expect-rev"], document["set-keys"], document["delete-keys"])
        if sum(len(entries) for entries in lists) > MAX_TRANSACTION_ENTRIES:
            return HTTPStatus.BAD_REQUEST, {}
        revisions_by_key = {
            condition["key"]: condition["revision"]
            for condition in document["expect-rev"]
        }
        items_by_key = {
            key: self._items_by_key[key]
            for key in revisions_by_key
            if key in self._items_by_key
        }
        if any(
            revision != (items_by_key[key].revision if key in items_by_key else 0)
            for key, revision in revisions_by_key.items()
        ):
            items = [_document(key, item) for key, item in items_by_key.items()]
            return HTTPStatus.PRECONDITION_FAILED, {"items": items}
        lease_ids = {put.get("lease", 0) for put in document["set-keys"]}
        if lease_ids - set(self._leases_by_id) - {0}:
            return HTTPStatus.NOT_FOUND, {}
        # All items of a transaction have its revision.
        self._revision += 1
        for put in document["set-keys"]:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in document["delete-keys"]:
            self._delete(key)
        return HTTPStatus.OK, {"revision": self._revision}

    def _grant_lease(self, ttl_ms: int) -> tuple[int, Document]:
        self._last_lease_id += 1
        ttl = ttl_ms / MILLISECONDS_PER_SECOND
        self._leases_by_id[self._last_lease_id] = _Lease(ttl, self._clock() + ttl)
        return HTTPStatus.OK, {"lease": self._last_lease_id, "ttl-ms": ttl_ms}

    def _renew_lease(self, lease_id: int) -> tuple[int, Document]:
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return HTTPStatus.NOT_FOUND, {}
        self._set_expiry(lease_id, self._clock())
        return HTTPStatus.OK, {"ttl-ms": round(lease.ttl * MILLISECONDS_PER_SECOND)}

    def _revoke_lease(self, lease_id: int) -> tuple[int, Document]:
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return HTTPStatus.NOT_FOUND, {}
        self._set_expiry(lease_id, self._clock() - lease.ttl)
        self._remove_expired_leases()
        return HTTPStatus.OK, {}

    def _set_expiry(self, lease_id: int, renewed_at: float) -> None:
        ttl = self._leases_by_id[lease_id].ttl
        self._leases_by_id[lease_id] = _Lease(ttl, renewed_at + ttl)

    def _remove_expired_leases(self) -> None:
        now = self._clock()
        expired_ids = {
            i for i, lease in self._leases_by_id.items() if lease.expires_at <= now
        }
        for lease_id in expired_ids:
            del self._leases_by_id[lease_id]
        for key, item in tuple(self._items_by_key.items()):
            if item.lease_id in expired_ids:
                self._revision += 1
                self._delete(key)

    def _record_copy(self) -> None:
        if self.era is not None:
            self._copies.record(self)

    def _put(self, key: str, value: str, lease_id: int) -> None:
        previous = self._items_by_key.get(key)
        created_revision = previous.created_revision if previous else self._revision
        item = _Item(value, self._revision, created_revision, lease_id)
        self._items_by_key[key] = item
        self._history.append(_document(key, item))

    def _delete(self, key: str) -> None:
        if self._items_by_key.pop(key, None) is not None:
            self._history.append(
                {"key": key, "revision": self._revision, "removed": True}
            )


class PlatformStoreServer:
    """Serves the stand-in over HTTP on the loopback address.

    Attributes:
        state: State of the store; while it serves, write through `put` and `revoke`.
        port: Port on which it listens.
    """

    def __init__(
        self, life_cycle: LifeCycle, *, log: EventLog, era: int | None = None
    ) -> None:
        """Binds a free port.

        Args:
            life_cycle: Life cycle that runs the tasks of the server.
            log: Log for errors of the stand-in itself.
            era: First value of the header `Store-Era`; None sends none.
        """
        self.state = PlatformStoreState(time.monotonic, era=era)
        self._life_cycle = life_cycle
        self._changed = Condition()
        self._server = HttpServer(life_cycle, "127.0.0.1", 0, self._respond, log=log)
        self.port = self._server.port

    def start(self) -> None:
        """Starts serving."""
        self._life_cycle.add_cleanup(self._server.close)
        self._server.start()

    def put(self, key: str, value: bytes) -> None:
        """Writes a value as operators do and wakes watches."""
        with self._changed:
            self.state.put(key, value)
            self._changed.notify_all()

    def revoke(self, key: str) -> None:
        """Deletes a key as operators do and wakes watches."""
        with self._changed:
            self.state.revoke(key)
            self._changed.notify_all()

    def restore(self, *, age: float, pause: float = 0.0) -> None:
        """Restores the store from a copy; see `PlatformStoreState.restore`."""
        with self._changed:
            self.state.restore(age=age, pause=pause)
            self._changed.notify_all()

    def _respond(self, request: HttpRequest) -> ServerResponse:
        wait_ms = float(parse_qs(request.query).get("wait-ms", ["0"])[0])
        deadline = time.monotonic() + wait_ms / MILLISECONDS_PER_SECOND
        with self._changed:
            while True:
                status, document = self.state.handle(
                    request.method, request.path, request.query, request.body
                )
                must_wait = wait_ms and not document.get("events", True)
                if not must_wait or time.monotonic() >= deadline:
                    break
                if self._life_cycle.stopping.is_set():
                    break
                self._changed.wait(WATCH_POLL_SECONDS)
            self._changed.notify_all()
            is_lost = bool(wait_ms and document.get("events")) and self._lose_watch()
        if is_lost:
            self._life_cycle.stopping.wait()
            raise ResponseLost
        if self.state.faults.latency:
            time.sleep(self.state.faults.latency)
        return ServerResponse(
            status, orjson.dumps(document), headers=self.state.headers
        )

    def _lose_watch(self) -> bool:
        if not self.state.faults.lose_watch_responses:
            return False
        self.state.faults.lose_watch_responses -= 1
        return True


def _document(key: str, item: _Item) -> Document:
    return {
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "created": item.created_revision,
        "lease": item.lease_id,
    }
