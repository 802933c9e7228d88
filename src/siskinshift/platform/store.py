"""The platform's store behind the product's key-value port."""

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
from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_objects
from siskinshift.control.documents import get_string
from siskinshift.control.documents import parse_object
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
from siskinshift.runtime.http_client import HttpClient
from siskinshift.runtime.http_client import RequestNotSentError
from siskinshift.runtime.http_client import ResponseLostError
from siskinshift.runtime.http_client import extend_timeout


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.connections.node_settings import StoreSettings
    from siskinshift.core.clocks import Clock
    from siskinshift.core.http import HttpResponse
    from siskinshift.kv.port import Compare
    from siskinshift.kv.port import Operation
    from siskinshift.runtime.http_client import TransferProgress


# The store answers in 4 ms; sixty times that is its slowest seen disturbance, and a
# longer wait delays the next try on a connection that may have gone silent. After calls
# that were not answered more is allowed: before a full link packets wait for as long.
CALL_TIMEOUT_SECONDS = 0.6
CONNECT_TIMEOUT_SECONDS = 0.3
# A waiting watch is a call that is answered at the latest after this; the protocol
# allows 30 s. Keep-alive probes notice a connection that went silent, and a peer that
# holds a newer configuration says so, so the wait may be long and the calls few.
WATCH_WAIT_SECONDS = 28.0
WATCH_SLACK_SECONDS = 0.6
# Entries that lapsed while the store was away must be back within two seconds of its
# return, so the circuit breaker lets a probe through once a second at least.
BREAKER_SECONDS_MAXIMUM = 1.0
MILLISECONDS = 1000
# What a document of the wrong shape raises while it is taken apart.
MALFORMED = (BadMessageError, KeyError, TypeError, ValueError, binascii.Error)


@define(eq=False)
class _Lane:
    """A connection for calls that may wait for each other.

    Attributes:
        client: Carries them, one at a time.
        lock: Held by the call that is on its way.
        failures: Calls in a row that were sent and not answered.
    """

    client: HttpClient
    lock: threading.Lock = Factory(threading.Lock)
    failures: int = 0


class PlatformStore:
    """KeyValueStore over the platform's calls, behind a call guard.

    Readings have a connection of their own. Guards against a lease that ends while a
    long answer flows: a configuration of 300 KB at 30 KB/s held up the renewal of a
    lease of 6 s for 10 s. Renewals and writes are short, and wait for nothing but each
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
        """Prepares; connects with the first call.

        Args:
            settings: Endpoint and rates.
            stopping: Ends watches when set.
            clock: Clock of the process.
            random: Source of the breaker's jitter; None for a new one.
        """
        self._settings = settings
        self._stopping = stopping
        self._clock = clock
        self._guard = CallGuard(
            settings, random=random or Random(), open_maximum=BREAKER_SECONDS_MAXIMUM
        )
        self._admission_lock = threading.Lock()
        self._calls = _Lane(self._new_client())
        self._readings = _Lane(self._new_client())

    @property
    def transfer(self) -> TransferProgress:
        """How far the newest answer to a reading has come."""
        return self._readings.client.transfer

    def get(self, key: str) -> Entry | None:
        """Reads one entry; see KeyValueStore."""
        return self._get(key, {})

    def get_cheaply(self, key: str) -> Entry | None:
        """Reads one entry as it was some seconds ago; see `list_prefix_cheaply`.

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

        Several pages are no snapshot: the revision is that of the first one.
        """
        return self._list(prefix, {})

    def list_prefix_cheaply(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix as they were some seconds ago.

        Costs a tenth of `list_prefix` and does not count towards the rate.

        Args:
            prefix: The prefix.

        Returns:
            The entries; see `list_prefix`.
        """
        return self._list(prefix, {"stale-ok": "1"})

    def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Operation, ...]
    ) -> TransactionResult:
        """Does all operations in one step; see KeyValueStore."""
        body = {
            "expect-rev": [{"key": c.key, "revision": c.revision} for c in compares],
            "set-keys": [_put_body(o) for o in operations if isinstance(o, Put)],
            "delete-keys": [o.key for o in operations if not isinstance(o, Put)],
        }
        answer = self._write("POST", "/kv-txn", body)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            return TransactionResult(succeeded=False, revision=0)
        if answer.status == HTTPStatus.NOT_FOUND:
            raise StoreUnavailableError("no such lease")
        document = _document_of(answer)
        try:
            revision = get_integer(document, "revision")
        except BadMessageError as error:
            # It was done; what it has become is read again.
            raise StoreOutcomeUnknownError("answer can't be read") from error
        return TransactionResult(succeeded=True, revision=revision)

    def grant_lease(self, ttl: float) -> Lease:
        """Makes a lease; see KeyValueStore. An unknown one lapses by itself."""
        ttl = max(ttl, self._settings.lease_minimum)
        body = {"ttl-ms": round(ttl * MILLISECONDS)}
        document = _document_of(self._call("POST", "/kv-lease", body))
        try:
            return Lease(
                get_integer(document, "lease", minimum=1),
                get_integer(document, "ttl-ms") / MILLISECONDS,
            )
        except MALFORMED as error:
            raise StoreUnavailableError("answer can't be read") from error

    def keep_alive(self, lease_id: int) -> float:
        """Prolongs a lease; see KeyValueStore."""
        answer = self._call("POST", f"/kv-keep/{lease_id}")
        if answer.status == HTTPStatus.NOT_FOUND:
            return 0.0
        try:
            return get_integer(_document_of(answer), "ttl-ms") / MILLISECONDS
        except MALFORMED as error:
            raise StoreUnavailableError("answer can't be read") from error

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease; see KeyValueStore."""
        self._call("DELETE", f"/kv-lease-end/{lease_id}")

    def watch(self, prefix: str, start_revision: int) -> PlatformWatch:
        """Opens a watch; see KeyValueStore."""
        return PlatformWatch(self, prefix, start_revision - 1)

    def close(self) -> None:
        """Ends all calls, also those that wait in other threads."""
        self._calls.client.close()
        self._readings.client.close()

    def _new_client(self) -> HttpClient:
        endpoint = self._settings.endpoint
        return HttpClient(
            endpoint.host, endpoint.port, connect_timeout=CONNECT_TIMEOUT_SECONDS
        )

    def _get(self, key: str, options: dict[str, str]) -> Entry | None:
        answer = self._read("/kv-key?" + urlencode({"key": key, **options}))
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _entry_of(_document_of(answer))

    def _list(self, prefix: str, options: dict[str, str]) -> Snapshot:
        entries: list[Entry] = []
        revision = 0
        query = {"prefix": prefix, **options}
        while True:
            answer = self._read("/kv-range?" + urlencode(query))
            document = _document_of(answer)
            try:
                entries += [_entry_of(item) for item in get_objects(document, "items")]
                revision = revision or get_integer(document, "as-of")
                has_more = document["has-more"] is True
            except MALFORMED as error:
                raise StoreUnavailableError("answer can't be read") from error
            if not has_more or not entries:
                return Snapshot(tuple(entries), revision)
            query["after"] = entries[-1].key

    def _read(self, target: str) -> HttpResponse:
        return self._idempotent(self._readings, "GET", target, b"")

    def _call(self, method: str, target: str, body: object = None) -> HttpResponse:
        data = b"" if body is None else encode_json(body)
        return self._idempotent(self._calls, method, target, data)

    def _write(self, method: str, target: str, body: object) -> HttpResponse:
        return self._carry(self._calls, method, target, encode_json(body))

    def _idempotent(
        self, lane: _Lane, method: str, target: str, body: bytes
    ) -> HttpResponse:
        # A call that may be repeated has no unknown outcome.
        try:
            return self._carry(lane, method, target, body)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    def _carry(
        self, lane: _Lane, method: str, target: str, body: bytes
    ) -> HttpResponse:
        with lane.lock:
            self._admit()
            timeout = extend_timeout(CALL_TIMEOUT_SECONDS, failures=lane.failures)
            try:
                answer = self.exchange(
                    lane.client, method, target, body, timeout=timeout
                )
            except StoreOutcomeUnknownError:
                lane.failures += 1
                raise
            lane.failures = 0
            return answer

    def exchange(
        self,
        client: HttpClient,
        method: str,
        target: str,
        body: bytes,
        *,
        timeout: float,
    ) -> HttpResponse:
        """Makes a call that was admitted and tells the guard how it went.

        Args:
            client: Carries it.
            method: HTTP method.
            target: Path with query.
            body: Body.
            timeout: Time allowed, seconds.

        Returns:
            The answer.

        Raises:
            StoreUnavailableError: Nothing was done.
            StoreOutcomeUnknownError: It may have been done.
        """
        try:
            answer = client.request(method, target, body, timeout=timeout)
        except RequestNotSentError as error:
            self._guard.failed(now=self._clock())
            raise StoreUnavailableError(f"not reached: {error}") from error
        except ResponseLostError as error:
            self._guard.failed(now=self._clock())
            raise StoreOutcomeUnknownError(f"answer lost: {error}") from error
        if answer.status in (
            HTTPStatus.SERVICE_UNAVAILABLE,
            HTTPStatus.TOO_MANY_REQUESTS,
        ):
            self._guard.failed(now=self._clock())
            raise StoreUnavailableError(f"refused with status {answer.status}")
        self._guard.succeeded()
        return answer

    def _admit(self) -> None:
        with self._admission_lock:
            admission = self._guard.admit(CallClass.BACKGROUND, now=self._clock())
        if admission is not Admission.ADMITTED:
            raise StoreUnavailableError(admission.value)

    def new_watch_client(self) -> HttpClient:
        """Makes a connection of its own for a call that waits.

        Returns:
            The client.
        """
        return self._new_client()

    @property
    def is_stopping(self) -> bool:
        """Whether watches are to end."""
        return self._stopping.is_set()


class PlatformWatch:
    """A watch made of calls that wait for the next change."""

    def __init__(self, store: PlatformStore, prefix: str, after: int) -> None:
        """Prepares; the first call is made by the first iteration.

        Args:
            store: The store.
            prefix: Prefix of the keys.
            after: Revision up to which all is known.
        """
        self._store = store
        self._prefix = prefix
        self._after = after
        self._client = store.new_watch_client()

    def __iter__(self) -> Iterator[WatchBatch]:
        """Waits for changes until the process stops; see Watch."""
        while not self._store.is_stopping:
            query = urlencode(
                {
                    "prefix": self._prefix,
                    "after": self._after,
                    "wait-ms": round(WATCH_WAIT_SECONDS * MILLISECONDS),
                }
            )
            yield self._wait("/kv-watch?" + query)

    @property
    def transfer(self) -> TransferProgress:
        """How far the newest answer has come."""
        return self._client.transfer

    def close(self) -> None:
        """Ends the watch, also one that waits in another thread."""
        self._client.close()

    def _wait(self, target: str) -> WatchBatch:
        try:
            answer = self._store.exchange(
                self._client,
                "GET",
                target,
                b"",
                timeout=WATCH_WAIT_SECONDS + WATCH_SLACK_SECONDS,
            )
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error
        if answer.status == HTTPStatus.GONE:
            raise StoreCompactedError("this history is no longer kept")
        document = _document_of(answer)
        try:
            events = get_objects(document, "events")
            self._after = max(self._after, get_integer(document, "as-of"))
            return WatchBatch(
                entries=tuple(_entry_of(e) for e in events if not e.get("removed")),
                deleted_keys=tuple(
                    get_string(e, "key") for e in events if e.get("removed")
                ),
                revision=self._after,
            )
        except MALFORMED as error:
            raise StoreUnavailableError("answer can't be read") from error


def _document_of(answer: HttpResponse) -> dict[str, Any]:
    if answer.status != HTTPStatus.OK:
        raise StoreUnavailableError(f"refused with status {answer.status}")
    try:
        return parse_object(answer.body)
    except BadMessageError as error:
        raise StoreUnavailableError("answer is no JSON object") from error


def _entry_of(item: dict[str, Any]) -> Entry:
    try:
        return Entry(
            key=get_string(item, "key"),
            value=base64.b64decode(item["value"], validate=True),
            revision=get_integer(item, "revision"),
        )
    except MALFORMED as error:
        raise StoreUnavailableError("entry can't be read") from error


def _put_body(put: Put) -> dict[str, Any]:
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease_id}
