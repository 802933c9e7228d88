"""Adapter to the etcd v3 JSON-over-HTTP protocol.

Source: the published etcd v3 API (KV, Lease and Watch services) with its JSON
mapping: bytes are base64, 64-bit integers are strings, default values are left out,
streamed answers are one JSON document a line with the message under "result".
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

# What a document of the wrong shape raises while it is taken apart.
MALFORMED = (
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
    binascii.Error,
)


class EtcdStore:
    """KeyValueStore over etcd's JSON gateway, behind a call guard."""

    def __init__(
        self,
        settings: KvSettings,
        *,
        call_class: CallClass = CallClass.BACKGROUND,
        transport: EtcdTransport | None = None,
        clock: Clock = monotonic_clock,
    ) -> None:
        """Prepares the adapter; connects with each call.

        Args:
            settings: Endpoints, time-outs, rates.
            call_class: Who waits for its calls.
            transport: Carries the calls; None for HTTP.
            clock: Clock of the process.
        """
        self._call_class = call_class
        self._guard = CallGuard(settings, random=Random())
        self._guard_lock = threading.Lock()
        self._transport = transport or HttpTransport(settings)
        self._clock = clock

    def with_call_class(self, call_class: CallClass) -> EtcdStore:
        """Makes an adapter that shares this one's budget and circuit breaker.

        Args:
            call_class: Who waits for its calls.

        Returns:
            The adapter.
        """
        shared = copy.copy(self)
        shared._call_class = call_class
        return shared

    @property
    def is_available(self) -> bool:
        """Whether the last call was answered well; True before the first one."""
        with self._guard_lock:
            return self._guard.healthy

    def get(self, key: str) -> Entry | None:
        """Reads one entry.

        Args:
            key: The key.

        Returns:
            The entry, or None when the key is absent.

        Raises:
            StoreUnavailableError: No good answer in time.
        """
        answer = self._read(RANGE_PATH, {"key": _encode(key.encode())})
        entries = _snapshot_of(answer).entries
        return entries[0] if entries else None

    def revision_of(self, key: str) -> int:
        """Reads the revision of one entry without its value.

        Args:
            key: The key.

        Returns:
            The revision, 0 when the key is absent.

        Raises:
            StoreUnavailableError: No good answer in time.
        """
        body = {"key": _encode(key.encode()), "keys_only": True}
        entries = _snapshot_of(self._read(RANGE_PATH, body)).entries
        return entries[0].revision if entries else 0

    def list_prefix(self, prefix: str) -> Snapshot:
        """Reads all entries whose key begins with a prefix.

        Args:
            prefix: The prefix, not empty.

        Returns:
            The entries as they were together.

        Raises:
            StoreUnavailableError: No good answer in time.
        """
        return _snapshot_of(self._read(RANGE_PATH, _prefix_range(prefix)))

    def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Operation, ...]
    ) -> TransactionResult:
        """Does all operations in one step if all conditions hold, else none.

        Args:
            compares: Conditions.
            operations: What to do.

        Returns:
            Whether it was done, and the revision.

        Raises:
            StoreUnavailableError: It did not take effect.
            StoreOutcomeUnknownError: It may have taken effect.
        """
        body = {
            "compare": [_compare_body(compare) for compare in compares],
            "success": [_operation_body(operation) for operation in operations],
        }
        answer = self._write(TRANSACTION_PATH, body)
        try:
            succeeded = answer.get("succeeded", False)
            if not isinstance(succeeded, bool):
                raise TypeError("succeeded")
            return TransactionResult(succeeded, _revision_of(answer))
        except MALFORMED as error:
            raise StoreOutcomeUnknownError("answer can't be read") from error

    def grant_lease(self, ttl: float) -> Lease:
        """Makes a lease.

        Args:
            ttl: Life without a keep-alive, seconds; whole ones in the protocol.

        Returns:
            The lease.

        Raises:
            StoreUnavailableError: No good answer; an unknown lease lapses by itself.
        """
        answer = self._read(LEASE_GRANT_PATH, {"TTL": str(max(1, round(ttl)))})
        try:
            return Lease(int(answer["ID"]), float(int(answer["TTL"])))
        except MALFORMED as error:
            raise StoreUnavailableError("answer can't be read") from error

    def keep_alive(self, lease_id: int) -> float:
        """Prolongs a lease.

        Args:
            lease_id: The lease.

        Returns:
            Seconds it has left from the call on; 0 when it lapsed.

        Raises:
            StoreUnavailableError: No good answer in time.
        """
        answer = self._read(LEASE_KEEP_ALIVE_PATH, {"ID": str(lease_id)})
        try:
            return float(int(answer["result"].get("TTL", "0")))
        except MALFORMED as error:
            raise StoreUnavailableError("answer can't be read") from error

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and removes its keys.

        Args:
            lease_id: The lease.

        Raises:
            StoreUnavailableError: No good answer; the lease lapses by itself.
        """
        self._read(LEASE_REVOKE_PATH, {"ID": str(lease_id)})

    def watch(self, prefix: str, start_revision: int) -> EtcdWatch:
        """Opens a watch.

        Args:
            prefix: Prefix of the keys, not empty.
            start_revision: First revision to see.

        Returns:
            The watch.

        Raises:
            StoreUnavailableError: It could not be opened.
        """
        create = _prefix_range(prefix) | {"start_revision": str(start_revision)}
        self._admit()
        try:
            body = orjson.dumps({"create_request": create})
            stream = self._transport.stream(WATCH_PATH, body)
        except StoreUnavailableError:
            self._failed()
            raise
        self._succeeded()
        return EtcdWatch(stream)

    def _read(self, path: str, body: object) -> dict[str, Any]:
        # A call that can't change the configuration has no unknown outcome.
        try:
            return self._write(path, body)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    def _write(self, path: str, body: object) -> dict[str, Any]:
        self._admit()
        try:
            answer = self._transport.post(path, orjson.dumps(body))
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            self._failed()
            raise
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            # etcd answers so also when a write timed out after it was proposed.
            self._failed()
            raise StoreOutcomeUnknownError(f"status {answer.status}")
        if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
            self._failed()
            raise StoreUnavailableError("the store limits its rate")
        if answer.status != HTTPStatus.OK:
            raise StoreUnavailableError(f"refused with status {answer.status}")
        try:
            document = orjson.loads(answer.body)
        except orjson.JSONDecodeError as error:
            self._failed()
            raise StoreOutcomeUnknownError("answer is no JSON") from error
        if not isinstance(document, dict):
            self._failed()
            raise StoreOutcomeUnknownError("answer is no JSON object")
        self._succeeded()
        return document

    def _admit(self) -> None:
        with self._guard_lock:
            admission = self._guard.admit(self._call_class, now=self._clock())
        if admission is not Admission.ADMITTED:
            raise StoreUnavailableError(admission.value)

    def _succeeded(self) -> None:
        with self._guard_lock:
            self._guard.succeeded()

    def _failed(self) -> None:
        with self._guard_lock:
            self._guard.failed(now=self._clock())


class EtcdWatch:
    """An open watch of the adapter."""

    def __init__(self, stream: LineStream) -> None:
        self._stream = stream

    def __iter__(self) -> Iterator[WatchBatch]:
        """Waits for changes until the stream ends.

        Yields:
            Each batch; those without a change carry the revision alone.

        Raises:
            StoreCompactedError: The start revision is no longer kept.
            StoreUnavailableError: The store ended the watch or sent nonsense.
        """
        try:
            for line in self._stream:
                yield _batch_of(line)
        finally:
            self.close()

    def close(self) -> None:
        """Ends the watch, also one that waits in another thread."""
        self._stream.close()


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def _prefix_range(prefix: str) -> dict[str, str]:
    key = prefix.encode()
    range_end = key[:-1] + bytes([key[-1] + 1])
    return {"key": _encode(key), "range_end": _encode(range_end)}


def _compare_body(compare: Compare) -> dict[str, str]:
    return {
        "key": _encode(compare.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.revision),
    }


def _operation_body(operation: Operation) -> dict[str, Any]:
    key = _encode(operation.key.encode())
    if not isinstance(operation, Put):
        return {"request_delete_range": {"key": key}}
    put = {"key": key, "value": _encode(operation.value)}
    if operation.lease_id:
        put["lease"] = str(operation.lease_id)
    return {"request_put": put}


def _revision_of(answer: dict[str, Any]) -> int:
    revision = int(answer["header"]["revision"])
    if revision <= 0:
        raise ValueError("revision")
    return revision


def _snapshot_of(answer: dict[str, Any]) -> Snapshot:
    try:
        entries = tuple(_entry_of(item) for item in answer.get("kvs") or ())
        return Snapshot(entries, _revision_of(answer))
    except MALFORMED as error:
        raise StoreUnavailableError("answer can't be read") from error


def _entry_of(item: dict[str, str]) -> Entry:
    return Entry(
        key=_decode(item["key"]).decode(),
        value=_decode(item.get("value", "")),
        revision=int(item["mod_revision"]),
    )


def _batch_of(line: bytes) -> WatchBatch:
    try:
        result = orjson.loads(line)["result"]
        if int(result.get("compact_revision", "0")):
            raise StoreCompactedError("the start revision was compacted")
        if result.get("canceled"):
            raise StoreUnavailableError("the store ended the watch")
        events = result.get("events") or ()
        return WatchBatch(
            entries=tuple(_entry_of(e["kv"]) for e in events if not _is_delete(e)),
            deleted_keys=tuple(
                _decode(e["kv"]["key"]).decode() for e in events if _is_delete(e)
            ),
            revision=_revision_of(result),
        )
    except MALFORMED as error:
        raise StoreUnavailableError("watch can't be read") from error


def _is_delete(event: dict[str, Any]) -> bool:
    return bool(event.get("type", "PUT") == "DELETE")
