"""KeyValueStore implementation for the platform's key-value service."""

from __future__ import annotations

import threading
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import attrs
from attrs import Factory
from attrs import define

from siskinshift.control.documents import encode_json
from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_objects
from siskinshift.control.exceptions import BadMessageError
from siskinshift.core.clocks import monotonic_clock
from siskinshift.kv.exceptions import LeaseNotFoundError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.generations import GENERATION_HEADER
from siskinshift.kv.generations import UNKNOWN_GENERATION
from siskinshift.kv.generations import GenerationTracker
from siskinshift.kv.generations import StorePosition
from siskinshift.kv.guard import Admission
from siskinshift.kv.guard import CallClass
from siskinshift.kv.guard import CallGuard
from siskinshift.kv.port import Lease
from siskinshift.kv.port import Put
from siskinshift.kv.port import Snapshot
from siskinshift.kv.port import TransactionResult
from siskinshift.platform.store_codec import MALFORMED_ERRORS
from siskinshift.platform.store_codec import decode_document
from siskinshift.platform.store_codec import decode_entry
from siskinshift.platform.store_codec import decode_revisions
from siskinshift.platform.store_codec import encode_put
from siskinshift.platform.store_codec import response_generation
from siskinshift.platform.store_watch import PlatformWatch
from siskinshift.runtime.http_client import HttpClient
from siskinshift.runtime.http_client import RequestNotSentError
from siskinshift.runtime.http_client import ResponseLostError
from siskinshift.runtime.http_client import extend_timeout


if TYPE_CHECKING:
    from siskinshift.connections.node_settings import StoreSettings
    from siskinshift.core.clocks import Clock
    from siskinshift.core.http import HttpResponse
    from siskinshift.kv.port import Compare
    from siskinshift.kv.port import Entry
    from siskinshift.kv.port import Operation
    from siskinshift.runtime.http_client import TransferProgress


# The store responds in 4 ms, and in sixty times that during its slowest observed
# disturbance. A longer timeout would delay the retry on a stalled connection. The
# timeout grows after requests without a response, since packets queue for as long
# before a saturated link.
CALL_TIMEOUT_SECONDS = 0.6
CONNECT_TIMEOUT_SECONDS = 0.3
# Entries that expired during an outage of the store must be restored within two seconds
# of its recovery, so the circuit breaker admits a probe at least once a second.
MAX_BREAKER_OPEN_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000


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
        generations: GenerationTracker | None = None,
    ) -> None:
        """Initializes the store, which connects with the first request.

        Args:
            settings: Endpoint and rate limits.
            stopping: Ends watches when set.
            clock: Clock of the process.
            random: Source of the breaker's jitter; None creates one.
            generations: Tracker that all clients of the process share; None creates
                one.
        """
        self.generations = generations or GenerationTracker()
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
    def transfer(self) -> TransferProgress:
        """Progress of the latest response to a read."""
        return self._read_connection.client.transfer

    @property
    def generation(self) -> int:
        """Newest known generation; see KeyValueStore."""
        return self.generations.current

    def confirm_generation(self, key: str) -> int:
        """Returns the generation as of now; see KeyValueStore."""
        if self.generation != UNKNOWN_GENERATION:
            self.get_stale(key)
        return self.generation

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
                encode_put(operation)
                for operation in operations
                if isinstance(operation, Put)
            ],
            "delete-keys": [
                operation.key
                for operation in operations
                if not isinstance(operation, Put)
            ],
        }
        sent_in = self.generation
        response = self._write("POST", "/kv-txn", body)
        generation = response_generation(response)
        if generation != sent_in and sent_in != UNKNOWN_GENERATION:
            # It may have compared other revisions, or used a lease of another node.
            raise StoreOutcomeUnknownError("the store was restored")
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            revisions_by_key = decode_revisions(
                response, {compare.key for compare in compares}
            )
            return TransactionResult(False, 0, generation, revisions_by_key)
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseNotFoundError("no such lease")
        document = decode_document(response)
        try:
            revision = get_integer(document, "revision")
        except BadMessageError as error:
            # The transaction was applied; the caller has to read its result.
            raise StoreOutcomeUnknownError("malformed response") from error
        return TransactionResult(True, revision, generation)

    def grant_lease(self, ttl: float) -> Lease:
        """Grants a lease; see KeyValueStore. It expires if the response is lost."""
        ttl = max(ttl, self._settings.lease_minimum)
        body = {"ttl-ms": round(ttl * MILLISECONDS_PER_SECOND)}
        response = self._request("POST", "/kv-lease", body)
        document = decode_document(response)
        try:
            return Lease(
                get_integer(document, "lease", minimum=1),
                get_integer(document, "ttl-ms") / MILLISECONDS_PER_SECOND,
                response_generation(response),
            )
        except MALFORMED_ERRORS as error:
            raise StoreUnavailableError("malformed response") from error

    def keep_alive(self, lease_id: int) -> float:
        """Renews a lease; see KeyValueStore."""
        sent_in = self.generation
        response = self._request("POST", f"/kv-keep/{lease_id}")
        if response.status == HTTPStatus.NOT_FOUND:
            return 0.0
        if response_generation(response) != sent_in != UNKNOWN_GENERATION:
            return 0.0
        try:
            return (
                get_integer(decode_document(response), "ttl-ms")
                / MILLISECONDS_PER_SECOND
            )
        except MALFORMED_ERRORS as error:
            raise StoreUnavailableError("malformed response") from error

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease; see KeyValueStore."""
        self._request("DELETE", f"/kv-lease-end/{lease_id}")

    def watch(
        self, prefix: str, start_revision: int, generation: int = UNKNOWN_GENERATION
    ) -> PlatformWatch:
        """Opens a watch; see KeyValueStore."""
        position = StorePosition(generation, start_revision - 1)
        return PlatformWatch(self, prefix, position, settings=self._settings)

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
        generation = response_generation(response)
        return decode_entry(decode_document(response), generation=generation)

    def _list(self, prefix: str, options: dict[str, str]) -> Snapshot:
        entries: list[Entry] = []
        revision = 0
        generation: int | None = None
        query = {"prefix": prefix, **options}
        while True:
            response = self._read("/kv-range?" + urlencode(query))
            document = decode_document(response)
            if generation is None:
                generation = response_generation(response)
            elif generation != response_generation(response):
                raise StoreUnavailableError("the store was restored between two pages")
            try:
                entries += [
                    decode_entry(item, generation=generation)
                    for item in get_objects(document, "items")
                ]
                revision = revision or get_integer(document, "as-of")
                has_more = document["has-more"] is True
            except MALFORMED_ERRORS as error:
                raise StoreUnavailableError("malformed response") from error
            if not has_more or not entries:
                return Snapshot(tuple(entries), revision, generation)
            query["after"] = entries[-1].key

    def _read(self, target: str) -> HttpResponse:
        return self._send_idempotent(self._read_connection, "GET", target, b"")

    def _request(self, method: str, target: str, body: object = None) -> HttpResponse:
        data = b"" if body is None else encode_json(body)
        return self._send_idempotent(self._write_connection, method, target, data)

    def _write(self, method: str, target: str, body: object) -> HttpResponse:
        return self._send(self._write_connection, method, target, encode_json(body))

    def _send_idempotent(
        self, connection: _Connection, method: str, target: str, body: bytes
    ) -> HttpResponse:
        # An idempotent request may be repeated, so an unknown outcome counts as
        # unavailable.
        try:
            return self._send(connection, method, target, body)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    def _send(
        self, connection: _Connection, method: str, target: str, body: bytes
    ) -> HttpResponse:
        with connection.lock:
            self._admit()
            timeout = extend_timeout(CALL_TIMEOUT_SECONDS, failures=connection.failures)
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
    ) -> HttpResponse:
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
        sent_in = self.generation
        try:
            response = client.request(method, target, body, timeout=timeout)
        except RequestNotSentError as error:
            self._guard.record_failure(now=self._clock())
            raise StoreUnavailableError(f"unreachable: {error}") from error
        except ResponseLostError as error:
            self._guard.record_failure(now=self._clock())
            raise StoreOutcomeUnknownError(f"response lost: {error}") from error
        generation = self.generations.observe(response.headers, sent_in=sent_in)
        if generation is None:
            raise StoreOutcomeUnknownError("the store was restored")
        if response.status in (
            HTTPStatus.SERVICE_UNAVAILABLE,
            HTTPStatus.TOO_MANY_REQUESTS,
        ):
            self._guard.record_failure(now=self._clock())
            raise StoreUnavailableError(f"refused with status {response.status}")
        self._guard.record_success()
        if generation == UNKNOWN_GENERATION:
            return response
        # Decoders read the last good value.
        return attrs.evolve(response, headers={GENERATION_HEADER: str(generation)})

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
