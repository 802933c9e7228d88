"""Stores a snapshot of an agent's long-lived flows, which outlives the instance.

When an instance loses power, the upstream and the agent's memory are lost together, and
no process has a record of the callers that still hold flows to it. An idle caller would
detect the loss only with its next request, and a request that may not be repeated would
be lost. With the snapshot, the restarted agent probes the new upstream with each flow,
so that callers of lost flows are reset before their next request.

Each write names the revision that it replaces. The store may apply a write seconds
after its response was lost; it would bring back an earlier upstream, and the next
process would deny flows of the present one.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.put_back import MIN_SPREAD_SECONDS
from siskinshift.connections.put_back import PutBack
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Put


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.kv.port import KeyValueStore
    from siskinshift.kv.port import Lease
    from siskinshift.observability.event_log import EventLog


SNAPSHOT_PREFIX = "siskinshift/flows/"
# Flows opened since the last write are missing in the snapshot.
UPLOAD_INTERVAL_SECONDS = 2.0
# Interval of an agent without a writer, which costs one request of each agent.
WRITE_INTERVAL_SECONDS = 4.0
# Longer than a usual power loss of an instance.
LEASE_SECONDS = 30.0
RENEW_INTERVAL_SECONDS = 9.0
# 64 KB, of a megabyte that a value may have; further flows are left out.
MAX_FLOWS = 2000
# Pause between two attempts to read the snapshot.
READ_RETRY_SECONDS = 0.4
# The first attempt may show the current revision.
MAX_UPLOAD_ATTEMPTS = 2
# The first conflict shows the current revision; further ones are lost writes.
MAX_WRITE_ATTEMPTS = 3
_SIZE_BYTES = 2
# A snapshot with the upstream's incarnation begins with a size that no packet has, then
# the length of the id, the start in Unix milliseconds (0 if unknown) and the id.
_INCARNATION_MARKER = bytes(_SIZE_BYTES)
# Older versions record here that the upstream leaves; no packet has this size either.
_LEAVING_MARKER = bytes(_SIZE_BYTES)
_START_BYTES = 8
_INCARNATION_HEADER_BYTES = len(_INCARNATION_MARKER) + 1 + _START_BYTES
_MAX_ID_BYTES = 255


@frozen
class FlowSnapshot:
    """An agent's long-lived flows.

    Attributes:
        packets: One repeatable packet of each flow, all of the same size.
        incarnation: Incarnation of the upstream that held them; None if unknown.
        is_leaving: Whether an older version recorded that this incarnation leaves.
    """

    packets: tuple[bytes, ...] = ()
    incarnation: Incarnation | None = None
    is_leaving: bool = False


@frozen
class SnapshotUpdate:
    """A snapshot for a writer.

    Attributes:
        value: The encoded snapshot.
        revision: Revision of the entry that it replaces, 0 if there is none; None if
            unknown, then the writer does not write it but returns the revision.
        is_unchanged: Whether the last write was the same snapshot by a writer.
    """

    value: bytes
    revision: int | None
    is_unchanged: bool = False


@frozen
class UploadResult:
    """The result of an upload.

    Attributes:
        is_written: Whether the snapshot is known to be written.
        revision: Revision of the entry after it; None if unknown.
    """

    is_written: bool = False
    revision: int | None = None


class FlowSnapshotStore:
    """Writes and reads the snapshot of one agent."""

    def __init__(
        self,
        *,
        store: KeyValueStore,
        member_id: str,
        flows: Callable[[], FlowSnapshot],
        upload: Callable[[SnapshotUpdate], UploadResult],
        log: EventLog,
        put_back: PutBack | None = None,
    ) -> None:
        """Initializes the store of one agent's snapshot.

        Args:
            store: The store.
            member_id: Id of the agent.
            flows: Returns the long-lived flows.
            upload: Uploads the snapshot to a writer.
            log: Event log.
            put_back: When to write the snapshot again after a restore of the store;
                None for a time that does not grow with the fleet.
        """
        self._store = store
        self._key = snapshot_key(member_id)
        self._flows = flows
        self._upload = upload
        self._log = log
        self._put_back = put_back or PutBack(
            "flow list",
            order=1,
            spread=lambda: MIN_SPREAD_SECONDS,
            random=Random(),
            log=log,
        )
        self._generation = store.generation
        self._lease: Lease | None = None
        self._renew_at = 0.0
        self._write_at = 0.0
        self._upload_again_at = 0.0
        self._written: bytes | None = None
        # Revision of the entry, 0 if it is absent; None if a write may have changed it.
        self._revision: int | None = None
        # Whether this process has ever written an entry, which a restore may lose.
        self._has_written = False

    def load(self) -> FlowSnapshot | None:
        """Reads the snapshot of the previous process.

        Returns:
            The snapshot, empty if there is none; None if the store is unavailable. The
            caller then has to retry before it writes, since a write would replace the
            snapshot.
        """
        try:
            entry = self._store.get(self._key)
        except StoreUnavailableError as error:
            self._log.decision("flow list not read", error=str(error))
            return None
        self._revision = entry.revision if entry else 0
        return decode_snapshot(entry.value) if entry else FlowSnapshot()

    def step(self, *, now: float, is_urgent: bool = False) -> None:
        """Uploads or writes the snapshot if it has changed or a renewal is due.

        Args:
            now: Clock reading, seconds.
            is_urgent: Whether the agent writes it itself at once, without the delay of
                a writer's batch.
        """
        try:
            snapshot = self._flows()
        except TimeoutError:
            # The instance was frozen; the next step collects the flows again.
            self._log.fact("flow list not collected")
            return
        value = encode_snapshot(snapshot)
        self._store_value(value, now=now, is_urgent=is_urgent)

    def _store_value(self, value: bytes, *, now: float, is_urgent: bool) -> None:
        self._handle_restore(now=now)
        if not is_urgent and self._put_back.remaining(now=now):
            return
        if not value and not (self._revision or self._has_written):
            # There is neither a flow nor an entry, so a lease would serve no purpose.
            return
        if is_urgent:
            self._write(value, now=now)
            return
        is_unchanged = value == self._written and self._lease is None
        if is_unchanged and now < self._upload_again_at:
            return
        if self._is_uploaded(value, is_unchanged=is_unchanged):
            # The entry is bound to the writer's lease from now on.
            self._lease = None
            self._upload_again_at = now + RENEW_INTERVAL_SECONDS
            self._put_back.on_written(now=now)
        elif now >= self._write_at:
            self._write_at = now + WRITE_INTERVAL_SECONDS
            self._write(value, now=now)

    def _is_uploaded(self, value: bytes, *, is_unchanged: bool) -> bool:
        for _ in range(MAX_UPLOAD_ATTEMPTS):
            update = SnapshotUpdate(value, self._revision, is_unchanged)
            result = self._upload(update)
            self._revision = result.revision
            if result.is_written:
                self._written = value
                self._has_written = True
                return True
            if result.revision is None:
                break
        return False

    def _handle_restore(self, *, now: float) -> None:
        """Forgets what an earlier generation of the store gave."""
        generation = self._store.generation
        if generation == self._generation:
            return
        self._generation = generation
        self._lease = None
        self._written = None
        self._revision = None
        if self._has_written:
            self._put_back.on_restored(now=now)

    def _write(self, value: bytes, *, now: float) -> None:
        try:
            lease = self._ensure_lease(now=now)
            if value != self._written:
                self._replace_entry(Put(self._key, value, lease.lease_id))
                self._written = value
                self._has_written = True
                self._put_back.on_written(now=now)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            # The entry may be out of date; the next step writes it again.
            self._log.fact("flow list not written", error=str(error))
            self._lease = None
            self._written = None
            self._revision = None

    def _replace_entry(self, put: Put) -> None:
        """Replaces the entry; raises an error if other writes keep coming first."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            revision = self._revision
            if revision is None:
                revision = self._store.revision_of(self._key)
            result = self._store.transact((Compare(self._key, revision),), (put,))
            if result.succeeded:
                self._revision = result.revision
                return
            # A lost write was applied, or the entry has expired.
            self._log.decision("flow list superseded", revision=revision)
            self._revision = result.revisions_by_key.get(self._key)
        raise StoreUnavailableError("other writes came first")

    def _ensure_lease(self, *, now: float) -> Lease:
        if self._lease is not None and now >= self._renew_at:
            if not self._is_renewed(self._lease):
                self._lease = None
            self._renew_at = now + RENEW_INTERVAL_SECONDS
        if self._lease is None:
            self._lease = self._store.grant_lease(LEASE_SECONDS)
            self._renew_at = now + RENEW_INTERVAL_SECONDS
            self._written = None
        return self._lease

    def _is_renewed(self, lease: Lease) -> bool:
        # In a later generation the id may belong to another node.
        if self._store.confirm_generation(self._key) != lease.generation:
            return False
        return self._store.keep_alive(lease.lease_id) > 0


def snapshot_key(member_id: str) -> str:
    """Returns the key of an agent's snapshot.

    Args:
        member_id: Id of the agent.

    Returns:
        The key.
    """
    return SNAPSHOT_PREFIX + member_id


def encode_snapshot(flows: FlowSnapshot) -> bytes:
    """Encodes a snapshot.

    Args:
        flows: The snapshot; flows beyond the maximum are left out.

    Returns:
        The upstream's incarnation, the packets' size and the packets; empty for a
        snapshot without flows.
    """
    if not flows.packets:
        return b""
    header = _encode_incarnation(flows.incarnation)
    packets = flows.packets[:MAX_FLOWS]
    size = len(packets[0]).to_bytes(_SIZE_BYTES, "big")
    return header + size + b"".join(packets)


def decode_snapshot(value: bytes) -> FlowSnapshot:
    """Decodes a snapshot of this or an older version of `encode_snapshot`.

    Args:
        value: The bytes.

    Returns:
        The snapshot; an empty one if the bytes are invalid.
    """
    try:
        incarnation, body = _decode_incarnation(value)
    except (IndexError, ValueError):
        return FlowSnapshot()
    is_leaving = incarnation is not None and body.startswith(_LEAVING_MARKER)
    if is_leaving:
        body = body[len(_LEAVING_MARKER) :]
        if not body:
            return FlowSnapshot((), incarnation, is_leaving)
    size = int.from_bytes(body[:_SIZE_BYTES], "big")
    rows = body[_SIZE_BYTES:]
    if not size or len(rows) % size:
        return FlowSnapshot()
    packets = (rows[start : start + size] for start in range(0, len(rows), size))
    return FlowSnapshot(tuple(packets), incarnation, is_leaving)


def _encode_incarnation(incarnation: Incarnation | None) -> bytes:
    upstream_id = incarnation.upstream_id.encode() if incarnation else b""
    if incarnation is None or not 0 < len(upstream_id) <= _MAX_ID_BYTES:
        return b""
    started_ms = (incarnation.started_ms or 0).to_bytes(_START_BYTES, "big")
    return _INCARNATION_MARKER + bytes((len(upstream_id),)) + started_ms + upstream_id


def _decode_incarnation(value: bytes) -> tuple[Incarnation | None, bytes]:
    if not value.startswith(_INCARNATION_MARKER):
        return None, value
    end = _INCARNATION_HEADER_BYTES + value[len(_INCARNATION_MARKER)]
    started_ms = int.from_bytes(
        value[len(_INCARNATION_MARKER) + 1 : _INCARNATION_HEADER_BYTES], "big"
    )
    upstream_id = value[_INCARNATION_HEADER_BYTES:end].decode()
    return Incarnation(upstream_id, started_ms or None), value[end:]
