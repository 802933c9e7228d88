"""Client of etcd's v3 JSON-over-HTTP gateway.

It implements the published etcd v3 API (KV, Lease and Watch services) with its JSON
mapping: bytes are base64, 64-bit integers are strings, and default values are omitted.
Streamed responses have one JSON document per line with the message under "result".
"""

from __future__ import annotations

import base64
import binascii
import copy
import threading
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING
from typing import Any

import orjson

from siskinshift.core.clocks import monotonic_clock
from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.guard import Admission
from siskinshift.kv.guard import CallClass
from siskinshift.kv.guard import CallGuard
from siskinshift.kv.port import Entry
from siskinshift.kv.port import Lease
from siskinshift.kv.port import Put
from siskinshift.kv.port import Snapshot
from siskinshift.kv.port import TransactionResult
from siskinshift.kv.port import WatchBatch
from siskinshift.kv.transport import HttpTransport


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.core.clocks import Clock
    from siskinshift.kv.port import Compare
    from siskinshift.kv.port import Operation
    from siskinshift.kv.transport import EtcdTransport
    from siskinshift.kv.transport import LineStream
    from siskinshift.settings.generated import KvSettings


RANGE_PATH = "/v3/kv/range"
TRANSACTION_PATH = "/v3/kv/txn"
LEASE_GRANT_PATH = "/v3/lease/grant"
LEASE_KEEP_ALIVE_PATH = "/v3/lease/keepalive"
LEASE_REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"

# Raised while decoding a document with an unexpected structure.
MALFORMED_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
    binascii.Error,
)


class EtcdStore:
    """KeyValueStore over etcd's JSON gateway, protected by a CallGuard."""

    def __init__(
        self,
        settings: KvSettings,
        *,
        call_class: CallClass = CallClass.BACKGROUND,
        transport: EtcdTransport | None = None,
        clock: Clock = monotonic_clock,
    ) -> None:
        """Initializes the store, which connects with each request.

        Args:
            settings: Endpoints, timeouts and rate limits.
            call_class: Priority class of its requests.
            transport: Sends the requests; None for HTTP.
            clock: Clock of the process.
        """
        self._call_class = call_class
        self._guard = CallGuard(settings, random=Random())
        self._guard_lock = threading.Lock()
        self._transport = transport or HttpTransport(settings)
        self._clock = clock

    def with_call_class(self, call_class: CallClass) -> EtcdStore:
        """Returns a store of another class that shares the rate limit and breaker.

        Args:
            call_class: Priority class of its requests.

        Returns:
            The store.
        """
        shared = copy.copy(self)
        shared._call_class = call_class
        return shared

    @property
    def is_available(self) -> bool:
        """Whether the last request succeeded; True before the first one."""
        with self._guard_lock:
            return self._guard.is_healthy

    def get(self, key: str) -> Entry | None:
        """Reads one entry.

        Args:
            key: The key.

        Returns:
            The entry, or None if the key is absent.

        Raises:
            StoreUnavailableError: No valid response arrived in time.
        """
        response = self._request_idempotent(
            RANGE_PATH, {"key": _encode_base64(key.encode())}
        )
        entries = _decode_snapshot(response).entries
        return entries[0] if entries else None

    def revision_of(self, key: str) -> int:
        """Reads the revision of one entry without its value.

        Args:
            key: The key.

        Returns:
            The revision, 0 if the key is absent.

        Raises:
            StoreUnavailableError: No valid response arrived in time.
        """
        body = {"key": _encode_base64(key.encode()), "keys_only": True}
        entries = _decode_snapshot(self._request_idempotent(RANGE_PATH, body)).entries
        return entries[0].revision if entries else 0

    def list_prefix(self, prefix: str) -> Snapshot:
        """Reads all entries whose keys have a prefix.

        Args:
            prefix: The prefix, not empty.

        Returns:
            A consistent snapshot of the entries.

        Raises:
            StoreUnavailableError: No valid response arrived in time.
        """
        return _decode_snapshot(
            self._request_idempotent(RANGE_PATH, _prefix_range(prefix))
        )

    def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Operation, ...]
    ) -> TransactionResult:
        """Atomically applies all operations if all conditions hold, else none.

        Args:
            compares: Conditions.
            operations: Writes and deletions.

        Returns:
            Whether it was applied, and the revision.

        Raises:
            StoreUnavailableError: The transaction did not take effect.
            StoreOutcomeUnknownError: The transaction may have taken effect.
        """
        body = {
            "compare": [_encode_compare(compare) for compare in compares],
            "success": [_encode_operation(operation) for operation in operations],
        }
        response = self._request(TRANSACTION_PATH, body)
        try:
            succeeded = response.get("succeeded", False)
            if not isinstance(succeeded, bool):
                raise TypeError("succeeded is not a boolean")
            return TransactionResult(succeeded, _decode_revision(response))
        except MALFORMED_ERRORS as error:
            raise StoreOutcomeUnknownError("answer can't be read") from error

    def grant_lease(self, ttl: float) -> Lease:
        """Grants a lease.

        Args:
            ttl: Time until it expires without a keep-alive, seconds. The protocol has
                whole seconds.

        Returns:
            The lease.

        Raises:
            StoreUnavailableError: No valid response; a granted lease expires by itself.
        """
        response = self._request_idempotent(
            LEASE_GRANT_PATH, {"TTL": str(max(1, round(ttl)))}
        )
        try:
            return Lease(int(response["ID"]), float(int(response["TTL"])))
        except MALFORMED_ERRORS as error:
            raise StoreUnavailableError("answer can't be read") from error

    def keep_alive(self, lease_id: int) -> float:
        """Renews a lease.

        Args:
            lease_id: The lease.

        Returns:
            Remaining seconds from the time of the request; 0 if it expired.

        Raises:
            StoreUnavailableError: No valid response arrived in time.
        """
        response = self._request_idempotent(
            LEASE_KEEP_ALIVE_PATH, {"ID": str(lease_id)}
        )
        try:
            return float(int(response["result"].get("TTL", "0")))
        except MALFORMED_ERRORS as error:
            raise StoreUnavailableError("answer can't be read") from error

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and removes its keys.

        Args:
            lease_id: The lease.

        Raises:
            StoreUnavailableError: No valid response; the lease expires by itself.
        """
        self._request_idempotent(LEASE_REVOKE_PATH, {"ID": str(lease_id)})

    def watch(self, prefix: str, start_revision: int) -> EtcdWatch:
        """Opens a watch.

        Args:
            prefix: Prefix of the keys, not empty.
            start_revision: First revision to receive.

        Returns:
            The watch.

        Raises:
            StoreUnavailableError: The watch could not be opened.
        """
        create = _prefix_range(prefix) | {"start_revision": str(start_revision)}
        self._admit()
        try:
            body = orjson.dumps({"create_request": create})
            stream = self._transport.stream(WATCH_PATH, body)
        except StoreUnavailableError:
            self._record_failure()
            raise
        self._record_success()
        return EtcdWatch(stream)

    def _request_idempotent(self, path: str, body: object) -> dict[str, Any]:
        # A request that can't change the configuration may be repeated, so an unknown
        # outcome counts as unavailable.
        try:
            return self._request(path, body)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    def _request(self, path: str, body: object) -> dict[str, Any]:
        self._admit()
        try:
            response = self._transport.post(path, orjson.dumps(body))
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            self._record_failure()
            raise
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            # etcd also returns this when a write timed out after it was proposed.
            self._record_failure()
            raise StoreOutcomeUnknownError(f"status {response.status}")
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            self._record_failure()
            raise StoreUnavailableError("the store limits its rate")
        if response.status != HTTPStatus.OK:
            raise StoreUnavailableError(f"refused with status {response.status}")
        try:
            document = orjson.loads(response.body)
        except orjson.JSONDecodeError as error:
            self._record_failure()
            raise StoreOutcomeUnknownError("answer is no JSON") from error
        if not isinstance(document, dict):
            self._record_failure()
            raise StoreOutcomeUnknownError("answer is no JSON object")
        self._record_success()
        return document

    def _admit(self) -> None:
        with self._guard_lock:
            admission = self._guard.admit(self._call_class, now=self._clock())
        if admission is not Admission.ADMITTED:
            raise StoreUnavailableError(admission.value)

    def _record_success(self) -> None:
        with self._guard_lock:
            self._guard.record_success()

    def _record_failure(self) -> None:
        with self._guard_lock:
            self._guard.record_failure(now=self._clock())


class EtcdWatch:
    """An open watch of EtcdStore."""

    def __init__(self, stream: LineStream) -> None:
        self._stream = stream

    def __iter__(self) -> Iterator[WatchBatch]:
        """Yields changes until the stream ends.

        Yields:
            Each batch; a batch without changes has only the revision.

        Raises:
            StoreCompactedError: The start revision was compacted.
            StoreUnavailableError: The store canceled the watch or sent malformed data.
        """
        try:
            for line in self._stream:
                yield _decode_batch(line)
        finally:
            self.close()

    def close(self) -> None:
        """Closes the watch, even while another thread waits on it."""
        self._stream.close()


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _prefix_range(prefix: str) -> dict[str, str]:
    key = prefix.encode()
    range_end = key[:-1] + bytes([key[-1] + 1])
    return {"key": _encode_base64(key), "range_end": _encode_base64(range_end)}


def _encode_compare(compare: Compare) -> dict[str, str]:
    return {
        "key": _encode_base64(compare.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.revision),
    }


def _encode_operation(operation: Operation) -> dict[str, Any]:
    key = _encode_base64(operation.key.encode())
    if not isinstance(operation, Put):
        return {"request_delete_range": {"key": key}}
    put = {"key": key, "value": _encode_base64(operation.value)}
    if operation.lease_id:
        put["lease"] = str(operation.lease_id)
    return {"request_put": put}


def _decode_revision(response: dict[str, Any]) -> int:
    revision = int(response["header"]["revision"])
    if revision <= 0:
        raise ValueError("revision is not positive")
    return revision


def _decode_snapshot(response: dict[str, Any]) -> Snapshot:
    try:
        entries = tuple(_decode_entry(item) for item in response.get("kvs") or ())
        return Snapshot(entries, _decode_revision(response))
    except MALFORMED_ERRORS as error:
        raise StoreUnavailableError("answer can't be read") from error


def _decode_entry(item: dict[str, str]) -> Entry:
    return Entry(
        key=_decode_base64(item["key"]).decode(),
        value=_decode_base64(item.get("value", "")),
        revision=int(item["mod_revision"]),
    )


def _decode_batch(line: bytes) -> WatchBatch:
    try:
        result = orjson.loads(line)["result"]
        if int(result.get("compact_revision", "0")):
            raise StoreCompactedError("the start revision was compacted")
        if result.get("canceled"):
            raise StoreUnavailableError("the store ended the watch")
        events = result.get("events") or ()
        return WatchBatch(
            entries=tuple(
                _decode_entry(event["kv"]) for event in events if not _is_delete(event)
            ),
            deleted_keys=tuple(
                _decode_base64(event["kv"]["key"]).decode()
                for event in events
                if _is_delete(event)
            ),
            revision=_decode_revision(result),
        )
    except MALFORMED_ERRORS as error:
        raise StoreUnavailableError("watch can't be read") from error


def _is_delete(event: dict[str, Any]) -> bool:
    return bool(event.get("type", "PUT") == "DELETE")
