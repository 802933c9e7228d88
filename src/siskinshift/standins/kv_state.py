"""State and faults of the key-value stand-in: the used subset of the etcd v3 JSON API.

It uses no sockets and no threads, and the clock is injected, so that tests can call it
directly.
"""

from __future__ import annotations

import base64
from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

from attrs import define
from attrs import frozen

from siskinshift.standins.store_copies import StoreCopies


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.core.clocks import Clock


Document: TypeAlias = dict[str, Any]

MAX_VALUE_SIZE = 1 << 20
FIRST_LEASE_ID = 7000
ERA_HEADER = "Store-Era"


class ResponseLost(Exception):
    """No response may be sent, whether or not the request took effect."""


@define
class KvFaults:
    """Faults to inject; the fields may be set while the stand-in runs.

    Attributes:
        down: Whether to reject every request with 503.
        latency: Delay of each response, in seconds.
        lose_write_responses: Number of upcoming writes that take effect but get no
            response.
        lose_writes: Number of upcoming writes that are dropped, without effect or
            response.
        requests_per_second: Maximum number of requests served in each second; 0 for no
            limit.
        garbage: Body to send in place of each response, or None.
    """

    down: bool = False
    latency: float = 0.0
    lose_write_responses: int = 0
    lose_writes: int = 0
    requests_per_second: int = 0
    garbage: bytes | None = None


@frozen
class _StoredValue:
    value: str
    mod_revision: int
    lease_id: int = 0


@frozen
class _Event:
    key: bytes
    stored: _StoredValue | None
    revision: int


@frozen
class _Lease:
    ttl: int
    expires_at: float


class KvState:
    """Keys, leases and history of the stand-in.

    Attributes:
        faults: Faults to inject.
        request_counts_by_path: Number of requests received so far by path; a watch
            counts as one.
        revision: Current revision of the store.
        era: Value of the header `Store-Era`; None sends none. Copies for `restore` are
            kept while it is set.
    """

    def __init__(self, clock: Clock, *, era: int | None = None) -> None:
        """Initializes an empty store.

        Args:
            clock: Clock of leases and of the rate limit, in seconds.
            era: First value of the header `Store-Era`; None sends none.
        """
        self.era = era
        self.faults = KvFaults()
        self.request_counts_by_path: Counter[str] = Counter()
        self.revision = 1
        self._clock = clock
        self._stored_by_key: dict[bytes, _StoredValue] = {}
        self._leases_by_id: dict[int, _Lease] = {}
        self._last_lease_id = FIRST_LEASE_ID
        self._history: list[_Event] = []
        self._compacted_revision = 0
        self._rate_window = (0, 0)
        self._handlers_by_path: dict[str, Callable[[Document], Document]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete_range,
            "/v3/kv/txn": self._transaction,
            "/v3/lease/grant": self._grant_lease,
            "/v3/lease/keepalive": self._renew_lease,
            "/v3/lease/revoke": self._handle_revoke,
        }
        self._unavailable_until = float("-inf")
        self._copies = StoreCopies(
            clock,
            fields=(
                "revision",
                "_stored_by_key",
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
        """Restores the store from a copy; revisions and leases are given out again.

        Args:
            age: Age of the copy, seconds.
            pause: Time from now during which requests get no response, seconds.
        """
        self._copies.restore(self, age=age)
        self._unavailable_until = self._clock() + pause
        for lease_id, lease in self._leases_by_id.items():
            expires_at = self._unavailable_until + lease.ttl
            self._leases_by_id[lease_id] = _Lease(lease.ttl, expires_at)
        if self.era is not None:
            self.era += 1
            self._copies.record(self)

    def handle(self, path: str, body: Document) -> tuple[HTTPStatus, Document]:
        """Handles a request.

        Args:
            path: Path of the URL.
            body: Decoded JSON.

        Returns:
            Status and JSON of the response.

        Raises:
            ResponseLost: The response, or the request itself, is dropped.
        """
        rejection_status = self.admit_request(path)
        if rejection_status is not None:
            return rejection_status, {"error": rejection_status.phrase}
        handler = self._handlers_by_path.get(path)
        if handler is None:
            return HTTPStatus.NOT_FOUND, {"error": "not found"}
        if _max_value_size(body) > MAX_VALUE_SIZE:
            return HTTPStatus.BAD_REQUEST, {"error": "request is too large"}
        is_write = "put" in path or "txn" in path or "delete" in path
        if is_write and self.faults.lose_writes:
            self.faults.lose_writes -= 1
            raise ResponseLost
        response = handler(body)
        if self.era is not None and not path.endswith("/range"):
            self._copies.record(self)
        if is_write and self.faults.lose_write_responses:
            self.faults.lose_write_responses -= 1
            raise ResponseLost
        return HTTPStatus.OK, {"header": {"revision": str(self.revision)}} | response

    def admit_request(self, path: str) -> HTTPStatus | None:
        """Counts a request and checks whether it may be served.

        Args:
            path: Path of the URL.

        Returns:
            None, or the status to reject it with.

        Raises:
            ResponseLost: The store is being restored.
        """
        self.request_counts_by_path[path] += 1
        if self._clock() < self._unavailable_until:
            raise ResponseLost
        self._expire_leases()
        if self.faults.down:
            return HTTPStatus.SERVICE_UNAVAILABLE
        second = int(self._clock())
        count = self._rate_window[1] + 1 if self._rate_window[0] == second else 1
        self._rate_window = (second, count)
        if 0 < self.faults.requests_per_second < count:
            return HTTPStatus.TOO_MANY_REQUESTS
        return None

    def events_from(self, body: Document) -> tuple[Document, int]:
        """Collects the events of a watch from its start revision on.

        Args:
            body: The create request of the watch with its start revision.

        Returns:
            The "result" of one line, and the next start revision.
        """
        self._expire_leases()
        first, last = _range_of(body)
        start = int(body.get("start_revision", "0")) or self.revision + 1
        header = {"header": {"revision": str(self.revision)}}
        if start <= self._compacted_revision:
            compacted = {
                "canceled": True,
                "compact_revision": str(self._compacted_revision),
            }
            return header | compacted, start
        events = [
            _event_document(event)
            for event in self._history
            if event.revision >= start and first <= event.key < last
        ]
        return header | ({"events": events} if events else {}), self.revision + 1

    def compact(self) -> None:
        """Compacts the history up to the current revision."""
        self._compacted_revision = self.revision
        self._history.clear()

    def lapse_leases(self) -> None:
        """Expires all leases at once, as after a long pause of the store."""
        for lease_id in tuple(self._leases_by_id):
            self._revoke_lease(lease_id)

    def writes(self) -> list[tuple[str, bytes, int]]:
        """Lists all writes since the last compaction.

        Returns:
            Key, value and revision of each, in order.
        """
        return [
            (event.key.decode(), base64.b64decode(event.stored.value), event.revision)
            for event in self._history
            if event.stored is not None
        ]

    def keys(self) -> list[str]:
        """Lists the existing keys.

        Returns:
            The keys in sorted order.
        """
        self._expire_leases()
        return [key.decode() for key in sorted(self._stored_by_key)]

    def _range(self, body: Document) -> Document:
        first, last = _range_of(body)
        kvs = [
            _kv_document(key, stored)
            for key, stored in sorted(self._stored_by_key.items())
            if first <= key < last
        ]
        if body.get("keys_only"):
            kvs = [kv | {"value": ""} for kv in kvs]
        return {"kvs": kvs, "count": str(len(kvs))} if kvs else {}

    def _put(self, body: Document) -> Document:
        self.revision += 1
        self._store_value(body)
        return {}

    def _delete_range(self, body: Document) -> Document:
        self.revision += 1
        return {"deleted": str(self._delete_keys(body))}

    def _transaction(self, body: Document) -> Document:
        if not all(self._is_satisfied(compare) for compare in body.get("compare", [])):
            return {}
        self.revision += 1
        for operation in body.get("success", []):
            if "request_put" in operation:
                self._store_value(operation["request_put"])
            else:
                self._delete_keys(operation["request_delete_range"])
        return {"succeeded": True}

    def _grant_lease(self, body: Document) -> Document:
        self._last_lease_id += 1
        ttl = int(body["TTL"])
        self._leases_by_id[self._last_lease_id] = _Lease(ttl, self._clock() + ttl)
        return {"ID": str(self._last_lease_id), "TTL": str(ttl)}

    def _renew_lease(self, body: Document) -> Document:
        lease = self._leases_by_id.get(int(body["ID"]))
        header = {"header": {"revision": str(self.revision)}}
        if lease is None:
            return {"result": header | {"ID": body["ID"]}}
        expires_at = self._clock() + lease.ttl
        self._leases_by_id[int(body["ID"])] = _Lease(lease.ttl, expires_at)
        return {"result": header | {"ID": body["ID"], "TTL": str(lease.ttl)}}

    def _handle_revoke(self, body: Document) -> Document:
        self._revoke_lease(int(body["ID"]))
        return {}

    def _is_satisfied(self, compare: Document) -> bool:
        stored = self._stored_by_key.get(base64.b64decode(compare["key"]))
        mod_revision = stored.mod_revision if stored else 0
        return mod_revision == int(compare.get("mod_revision", "0"))

    def _store_value(self, put: Document) -> None:
        key = base64.b64decode(put["key"])
        lease_id = int(put.get("lease", "0"))
        stored = _StoredValue(put.get("value", ""), self.revision, lease_id)
        self._stored_by_key[key] = stored
        self._history.append(_Event(key, stored, self.revision))

    def _delete_keys(self, body: Document) -> int:
        first, last = _range_of(body)
        keys = [key for key in self._stored_by_key if first <= key < last]
        for key in keys:
            del self._stored_by_key[key]
            self._history.append(_Event(key, None, self.revision))
        return len(keys)

    def _expire_leases(self) -> None:
        now = self._clock()
        for lease_id, lease in tuple(self._leases_by_id.items()):
            if lease.expires_at <= now:
                self._revoke_lease(lease_id)

    def _revoke_lease(self, lease_id: int) -> None:
        if self._leases_by_id.pop(lease_id, None) is None:
            return
        keys = [k for k, s in self._stored_by_key.items() if s.lease_id == lease_id]
        self.revision += 1 if keys else 0
        for key in keys:
            del self._stored_by_key[key]
            self._history.append(_Event(key, None, self.revision))


def _range_of(body: Document) -> tuple[bytes, bytes]:
    first = base64.b64decode(body["key"])
    return first, base64.b64decode(body.get("range_end", "")) or first + b"\0"


def _kv_document(key: bytes, stored: _StoredValue) -> Document:
    return {
        "key": base64.b64encode(key).decode(),
        "value": stored.value,
        "mod_revision": str(stored.mod_revision),
    }


def _event_document(event: _Event) -> Document:
    if event.stored is not None:
        return {"kv": _kv_document(event.key, event.stored)}
    key = base64.b64encode(event.key).decode()
    return {"type": "DELETE", "kv": {"key": key, "mod_revision": str(event.revision)}}


def _max_value_size(body: Document) -> int:
    puts = [body, *(o.get("request_put", {}) for o in body.get("success", []))]
    # base64 encodes 3 bytes as 4 characters.
    return max(len(put.get("value", "")) * 3 // 4 for put in puts)
