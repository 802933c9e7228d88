"""Client of etcd's v3 JSON-over-HTTP gateway.

It implements the published etcd v3 API (KV, Lease and Watch services) with its JSON
mapping: bytes are base64, 64-bit integers are strings, and default values are omitted.
Streamed responses have one JSON document per line with the message under "result".
"""

from __future__ import annotations

import copy
import threading
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING
from typing import Any

import orjson

from siskinshift.core.clocks import monotonic_clock
from siskinshift.kv.etcd_codec import MALFORMED_ERRORS
from siskinshift.kv.etcd_codec import decode_batch
from siskinshift.kv.etcd_codec import decode_revision
from siskinshift.kv.etcd_codec import decode_snapshot
from siskinshift.kv.etcd_codec import encode_base64
from siskinshift.kv.etcd_codec import encode_compare
from siskinshift.kv.etcd_codec import encode_operation
from siskinshift.kv.etcd_codec import prefix_range
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreRestoredError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.generations import UNKNOWN_GENERATION
from siskinshift.kv.generations import GenerationTracker
from siskinshift.kv.guard import Admission
from siskinshift.kv.guard import CallClass
from siskinshift.kv.guard import CallGuard
from siskinshift.kv.port import Entry
from siskinshift.kv.port import Lease
from siskinshift.kv.port import Snapshot
from siskinshift.kv.port import TransactionResult
from siskinshift.kv.port import WatchBatch
from siskinshift.kv.transport import HttpTransport
from siskinshift.observability.logs import ComponentLog


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

_log = ComponentLog("store")


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
        self._generations = GenerationTracker(
            on_fault=lambda reason, value: _log.repeated(
                "generation",
                "A generation of the store was refused.",
                reason=reason,
                value=value,
            )
        )

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

    @property
    def generation(self) -> int:
        """Newest known generation; see KeyValueStore."""
        return self._generations.current

    def confirm_generation(self, key: str) -> int:
        """Returns the generation as of now; see KeyValueStore."""
        if self.generation != UNKNOWN_GENERATION:
            self.revision_of(key)
        return self.generation

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
            RANGE_PATH, {"key": encode_base64(key.encode())}
        )
        entries = decode_snapshot(response, generation=self.generation).entries
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
        body = {"key": encode_base64(key.encode()), "keys_only": True}
        response = self._request_idempotent(RANGE_PATH, body)
        entries = decode_snapshot(response, generation=self.generation).entries
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
        response = self._request_idempotent(RANGE_PATH, prefix_range(prefix))
        return decode_snapshot(response, generation=self.generation)

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
            "compare": [encode_compare(compare) for compare in compares],
            "success": [encode_operation(operation) for operation in operations],
        }
        sent_in = self.generation
        response = self._request(TRANSACTION_PATH, body)
        if self.generation != sent_in and sent_in != UNKNOWN_GENERATION:
            # It may have compared revisions that mean something else now.
            raise StoreOutcomeUnknownError("the store was restored")
        try:
            succeeded = response.get("succeeded", False)
            if not isinstance(succeeded, bool):
                raise TypeError("succeeded is not a boolean")
            revision = decode_revision(response)
            return TransactionResult(succeeded, revision, self.generation)
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
            ttl = float(int(response["TTL"]))
            return Lease(int(response["ID"]), ttl, self.generation)
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

    def watch(
        self, prefix: str, start_revision: int, generation: int = UNKNOWN_GENERATION
    ) -> EtcdWatch:
        """Opens a watch.

        Args:
            prefix: Prefix of the keys, not empty.
            start_revision: First revision to receive.
            generation: Generation that gave it; UNKNOWN_GENERATION if the caller
                orders by other means.

        Returns:
            The watch.

        Raises:
            StoreUnavailableError: The watch could not be opened.
            StoreRestoredError: The store was restored since that revision.
        """
        create = prefix_range(prefix) | {"start_revision": str(start_revision)}
        self._admit()
        sent_in = self.generation
        try:
            body = orjson.dumps({"create_request": create})
            stream = self._transport.stream(WATCH_PATH, body)
        except StoreUnavailableError:
            self._record_failure()
            raise
        self._record_success()
        observed = self._generations.observe(stream.headers, sent_in=sent_in)
        if generation != UNKNOWN_GENERATION and observed != generation:
            stream.close()
            raise StoreRestoredError("the store was restored")
        return EtcdWatch(stream, UNKNOWN_GENERATION if observed is None else observed)

    def _request_idempotent(self, path: str, body: object) -> dict[str, Any]:
        # A request that can't change the configuration may be repeated, so an unknown
        # outcome counts as unavailable.
        try:
            return self._request(path, body)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    def _request(self, path: str, body: object) -> dict[str, Any]:
        self._admit()
        sent_in = self.generation
        try:
            response = self._transport.post(path, orjson.dumps(body))
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            self._record_failure()
            raise
        if self._generations.observe(response.headers, sent_in=sent_in) is None:
            raise StoreOutcomeUnknownError("the store was restored")
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

    def __init__(self, stream: LineStream, generation: int) -> None:
        self._stream = stream
        self._generation = generation

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
                yield decode_batch(line, generation=self._generation)
        finally:
            self.close()

    def close(self) -> None:
        """Closes the watch, even while another thread waits on it."""
        self._stream.close()
