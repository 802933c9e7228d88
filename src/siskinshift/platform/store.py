"""KeyValueStore implementation for the platform's key-value service."""

from __future__ import annotations

import base64
import binascii
import threading
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import urlencode

from attrs import Factory
from attrs import define

from siskinshift.control.documents import encode_json
from siskinshift.control.documents import parse_table
from siskinshift.control.documents import rows_of
from siskinshift.control.documents import text_of
from siskinshift.control.documents import whole_of
from siskinshift.control.exceptions import BadMessageError
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
from siskinshift.runtime.http_client import AnswerLostError
from siskinshift.runtime.http_client import CallNotSentError
from siskinshift.runtime.http_client import HttpClient
from siskinshift.runtime.http_client import lengthened


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.connections.node_settings import StoreSettings
    from siskinshift.core.clocks import Clock
    from siskinshift.core.http import HttpAnswer
    from siskinshift.kv.port import Compare
    from siskinshift.kv.port import Operation
    from siskinshift.runtime.http_client import Transfer


# The store responds in 4 ms, and in sixty times that during its slowest observed
# disturbance. A longer timeout would delay the retry on a stalled connection. The
# timeout grows after requests without a response, since packets queue for as long
# before a saturated link.
CALL_TIMEOUT_SECONDS = 0.6
CONNECT_TIMEOUT_SECONDS = 0.3
# A watch is a long poll that the store answers after this time at the latest; the
# protocol allows 30 s. Keep-alive probes detect a stalled connection, and peers
# announce a newer configuration, so long waits with few requests suffice.
WATCH_WAIT_SECONDS = 28.0
WATCH_SLACK_SECONDS = 0.6
# Entries that expired during an outage of the store must be restored within two seconds
# of its recovery, so the circuit breaker admits a probe at least once a second.
MAX_BREAKER_OPEN_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000
# Raised while decoding a document with an unexpected structure.
MALFORMED_ERRORS = (BadMessageError, KeyError, TypeError, ValueError, binascii.Error)


@define(eq=False)
class _Connection:
    """A connection on which requests are sent one after the other.

    Attributes:
        client: Client that sends the requests.
        lock: Held while a request is in progress.
        failures: Consecutive requests that were sent without receiving a response.
    """

    client: HttpClient
    lock: threading.Lock = Factory(threading.Lock)
    failures: int = 0


class PlatformStore:
    """KeyValueStore over the platform's HTTP requests, protected by a CallGuard.

    Reads have a separate connection, because a long response would delay the renewal
    of a lease until it expires: a configuration of 300 KB at 30 KB/s delayed the
    renewal of a 6 s lease by 10 s. Renewals and writes are short and wait only for each
    other.
    """

    def __init__(
        self,
        settings: StoreSettings,
        *,
        stopping: threading.Event,
        clock: Clock = monotonic_clock,
        random: Random | None = None,
    ) -> None:
        """Initializes the store, which connects with the first request.

        Args:
            settings: Endpoint and rate limits.
            stopping: Ends watches when set.
            clock: Clock of the process.
            random: Source of the breaker's jitter; None creates one.
        """
        self._settings = settings
        self._stopping = stopping
        self._clock = clock
        self._guard = CallGuard(
            settings,
            random=random or Random(),
            max_open_seconds=MAX_BREAKER_OPEN_SECONDS,
        )
        self._guard_lock = threading.Lock()
        self._write_connection = _Connection(self._new_client())
        self._read_connection = _Connection(self._new_client())

    @property
    def transfer(self) -> Transfer:
        """Progress of the latest response to a read."""
        return self._read_connection.client.transfer

    def get(self, key: str) -> Entry | None:
        """Reads one entry; see KeyValueStore."""
        return self._get(key, {})

    def get_stale(self, key: str) -> Entry | None:
        """Reads one entry, possibly some seconds stale; see `list_prefix_stale`.

        Args:
            key: Its key.

        Returns:
            The entry, or None.
        """
        return self._get(key, {"stale-ok": "1"})

    def revision_of(self, key: str) -> int:
        """Reads the revision of one entry; see KeyValueStore."""
        entry = self.get(key)
        return entry.revision if entry else 0

    def list_prefix(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix; see KeyValueStore.

        Several pages are not a consistent snapshot; the revision is that of the first.
        """
        return self._list(prefix, {})

    def list_prefix_stale(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix, possibly some seconds stale.

        Costs a tenth of `list_prefix` and does not count towards the rate limit.

        Args:
            prefix: The prefix.

        Returns:
            The entries; see `list_prefix`.
        """
        return self._list(prefix, {"stale-ok": "1"})

    def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Operation, ...]
    ) -> TransactionResult:
        """Atomically applies all operations; see KeyValueStore."""
        body = {
            "expect-rev": [
                {"key": compare.key, "revision": compare.revision}
                for compare in compares
            ],
            "set-keys": [
                _encode_put(operation)
                for operation in operations
                if isinstance(operation, Put)
            ],
            "delete-keys": [
                operation.key
                for operation in operations
                if not isinstance(operation, Put)
            ],
        }
        response = self._write("POST", "/kv-txn", body)
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            return TransactionResult(succeeded=False, revision=0)
        if response.status == HTTPStatus.NOT_FOUND:
            raise StoreUnavailableError("no such lease")
        document = _decode_document(response)
        try:
            revision = whole_of(document, "revision")
        except BadMessageError as error:
            # The transaction was applied; the caller has to read its result.
            raise StoreOutcomeUnknownError("malformed response") from error
        return TransactionResult(succeeded=True, revision=revision)

    def grant_lease(self, ttl: float) -> Lease:
        """Grants a lease; see KeyValueStore. It expires if the response is lost."""
        ttl = max(ttl, self._settings.lease_minimum)
        body = {"ttl-ms": round(ttl * MILLISECONDS_PER_SECOND)}
        document = _decode_document(self._request("POST", "/kv-lease", body))
        try:
            return Lease(
                whole_of(document, "lease", minimum=1),
                whole_of(document, "ttl-ms") / MILLISECONDS_PER_SECOND,
            )
        except MALFORMED_ERRORS as error:
            raise StoreUnavailableError("malformed response") from error

    def keep_alive(self, lease_id: int) -> float:
        """Renews a lease; see KeyValueStore."""
        response = self._request("POST", f"/kv-keep/{lease_id}")
        if response.status == HTTPStatus.NOT_FOUND:
            return 0.0
        try:
            return (
                whole_of(_decode_document(response), "ttl-ms") / MILLISECONDS_PER_SECOND
            )
        except MALFORMED_ERRORS as error:
            raise StoreUnavailableError("malformed response") from error

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease; see KeyValueStore."""
        self._request("DELETE", f"/kv-lease-end/{lease_id}")

    def watch(self, prefix: str, start_revision: int) -> PlatformWatch:
        """Opens a watch; see KeyValueStore."""
        return PlatformWatch(self, prefix, start_revision - 1)

    def close(self) -> None:
        """Aborts all requests, even those that wait in other threads."""
        self._write_connection.client.close()
        self._read_connection.client.close()

    def _new_client(self) -> HttpClient:
        endpoint = self._settings.endpoint
        return HttpClient(
            endpoint.host, endpoint.port, connect_timeout=CONNECT_TIMEOUT_SECONDS
        )

    def _get(self, key: str, options: dict[str, str]) -> Entry | None:
        response = self._read("/kv-key?" + urlencode({"key": key, **options}))
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode_entry(_decode_document(response))

    def _list(self, prefix: str, options: dict[str, str]) -> Snapshot:
        entries: list[Entry] = []
        revision = 0
        query = {"prefix": prefix, **options}
        while True:
            response = self._read("/kv-range?" + urlencode(query))
            document = _decode_document(response)
            try:
                entries += [_decode_entry(item) for item in rows_of(document, "items")]
                revision = revision or whole_of(document, "as-of")
                has_more = document["has-more"] is True
            except MALFORMED_ERRORS as error:
                raise StoreUnavailableError("malformed response") from error
            if not has_more or not entries:
                return Snapshot(tuple(entries), revision)
            query["after"] = entries[-1].key

    def _read(self, target: str) -> HttpAnswer:
        return self._send_idempotent(self._read_connection, "GET", target, b"")

    def _request(self, method: str, target: str, body: object = None) -> HttpAnswer:
        data = b"" if body is None else encode_json(body)
        return self._send_idempotent(self._write_connection, method, target, data)

    def _write(self, method: str, target: str, body: object) -> HttpAnswer:
        return self._send(self._write_connection, method, target, encode_json(body))

    def _send_idempotent(
        self, connection: _Connection, method: str, target: str, body: bytes
    ) -> HttpAnswer:
        # An idempotent request may be repeated, so an unknown outcome counts as
        # unavailable.
        try:
            return self._send(connection, method, target, body)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    def _send(
        self, connection: _Connection, method: str, target: str, body: bytes
    ) -> HttpAnswer:
        with connection.lock:
            self._admit()
            timeout = lengthened(CALL_TIMEOUT_SECONDS, failures=connection.failures)
            try:
                response = self.exchange(
                    connection.client, method, target, body, timeout=timeout
                )
            except StoreOutcomeUnknownError:
                connection.failures += 1
                raise
            connection.failures = 0
            return response

    def exchange(
        self,
        client: HttpClient,
        method: str,
        target: str,
        body: bytes,
        *,
        timeout: float,
    ) -> HttpAnswer:
        """Sends an admitted request and reports its result to the guard.

        Args:
            client: Client that sends it.
            method: HTTP method.
            target: Path with query.
            body: Body.
            timeout: Timeout, seconds.

        Returns:
            The response.

        Raises:
            StoreUnavailableError: The request did not take effect.
            StoreOutcomeUnknownError: The request may have taken effect.
        """
        try:
            response = client.call(method, target, body, timeout=timeout)
        except CallNotSentError as error:
            self._guard.record_failure(now=self._clock())
            raise StoreUnavailableError(f"unreachable: {error}") from error
        except AnswerLostError as error:
            self._guard.record_failure(now=self._clock())
            raise StoreOutcomeUnknownError(f"response lost: {error}") from error
        if response.status in (
            HTTPStatus.SERVICE_UNAVAILABLE,
            HTTPStatus.TOO_MANY_REQUESTS,
        ):
            self._guard.record_failure(now=self._clock())
            raise StoreUnavailableError(f"refused with status {response.status}")
        self._guard.record_success()
        return response

    def _admit(self) -> None:
        with self._guard_lock:
            admission = self._guard.admit(CallClass.BACKGROUND, now=self._clock())
        if admission is not Admission.ADMITTED:
            raise StoreUnavailableError(admission.value)

    def new_watch_client(self) -> HttpClient:
        """Creates a separate client for a long poll.

        Returns:
            The client.
        """
        return self._new_client()

    @property
    def is_stopping(self) -> bool:
        """Whether watches must end."""
        return self._stopping.is_set()


class PlatformWatch:
    """A watch implemented by long polling."""

    def __init__(self, store: PlatformStore, prefix: str, revision: int) -> None:
        """Initializes the watch; the first iteration sends the first request.

        Args:
            store: The store.
            prefix: Prefix of the keys.
            revision: Revision up to which all changes are known.
        """
        self._store = store
        self._prefix = prefix
        self._revision = revision
        self._client = store.new_watch_client()

    def __iter__(self) -> Iterator[WatchBatch]:
        """Yields changes until the process stops; see Watch."""
        while not self._store.is_stopping:
            query = urlencode(
                {
                    "prefix": self._prefix,
                    "after": self._revision,
                    "wait-ms": round(WATCH_WAIT_SECONDS * MILLISECONDS_PER_SECOND),
                }
            )
            yield self._poll("/kv-watch?" + query)

    @property
    def transfer(self) -> Transfer:
        """Progress of the latest response."""
        return self._client.transfer

    def close(self) -> None:
        """Closes the watch, even while another thread waits on it."""
        self._client.close()

    def _poll(self, target: str) -> WatchBatch:
        try:
            response = self._store.exchange(
                self._client,
                "GET",
                target,
                b"",
                timeout=WATCH_WAIT_SECONDS + WATCH_SLACK_SECONDS,
            )
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error
        if response.status == HTTPStatus.GONE:
            raise StoreCompactedError("the start revision was compacted")
        document = _decode_document(response)
        try:
            events = rows_of(document, "events")
            self._revision = max(self._revision, whole_of(document, "as-of"))
            return WatchBatch(
                entries=tuple(
                    _decode_entry(event) for event in events if not event.get("removed")
                ),
                deleted_keys=tuple(
                    text_of(event, "key") for event in events if event.get("removed")
                ),
                revision=self._revision,
            )
        except MALFORMED_ERRORS as error:
            raise StoreUnavailableError("malformed response") from error


def _decode_document(response: HttpAnswer) -> dict[str, Any]:
    if response.status != HTTPStatus.OK:
        raise StoreUnavailableError(f"refused with status {response.status}")
    try:
        return parse_table(response.body)
    except BadMessageError as error:
        raise StoreUnavailableError("response is not a JSON object") from error


def _decode_entry(item: dict[str, Any]) -> Entry:
    try:
        return Entry(
            key=text_of(item, "key"),
            value=base64.b64decode(item["value"], validate=True),
            revision=whole_of(item, "revision"),
        )
    except MALFORMED_ERRORS as error:
        raise StoreUnavailableError("malformed entry") from error


def _encode_put(put: Put) -> dict[str, Any]:
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease_id}
