"""A short list of an agent's long flows in the store, which outlives the instance.

Guards against callers that find out too late: when an instance loses power its
upstream and the agent's memory go together, and nobody is left who knows which callers
still hold flows to it. An idle caller would learn of it by its next request, and one
that may not be repeated is lost then. With the list the restarted agent asks the new
upstream about each flow, and what comes back is reset before the caller needs it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.connections.incarnation import Incarnation
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Put


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.kv.port import KeyValueStore
    from siskinshift.observability.event_log import EventLog


SNAPSHOT_PREFIX = "siskinshift/flows/"
# A flow opened after the last write is not in the list.
UPLOAD_INTERVAL_SECONDS = 2.0
# Pause between two writes of an agent that finds no writer: a call for each agent.
WRITE_SECONDS = 4.0
# Longer than an instance is away without power in an ordinary failure.
LEASE_SECONDS = 30.0
RENEW_SECONDS = 9.0
# 64 KB of a value of a megabyte; more flows than that are left out.
FLOWS_MAXIMUM = 2000
# A list that could not be read is tried again at this pace.
READ_RETRY_SECONDS = 0.4
_SIZE_BYTES = 2
# A list that names its upstream's start begins with a size that no packet has, then the
# length of the id, the start in Unix milliseconds (0 if untold) and the id.
_NAMED = bytes(_SIZE_BYTES)
_START_BYTES = 8
_NAME_HEADER_BYTES = len(_NAMED) + 1 + _START_BYTES
_ID_BYTES_MAXIMUM = 255


@frozen
class FlowSnapshot:
    """An agent's long flows.

    Attributes:
        packets: One repeatable packet of each, all of one size.
        incarnation: The start of the upstream that held them; None if it is not known.
    """

    packets: tuple[bytes, ...] = ()
    incarnation: Incarnation | None = None


class FlowSnapshotStore:
    """Writes and reads the list of one agent."""

    def __init__(
        self,
        *,
        store: KeyValueStore,
        member_id: str,
        flows: Callable[[], FlowSnapshot],
        upload: Callable[[bytes, bool], bool],
        log: EventLog,
    ) -> None:
        """Prepares.

        Args:
            store: The store.
            member_id: The agent.
            flows: Gives the long flows.
            upload: Hands the list to a writer, and whether a writer wrote the same
                list last; says whether it is written.
            log: Takes a line when a write fails.
        """
        self._store = store
        self._key = snapshot_key(member_id)
        self._flows = flows
        self._upload = upload
        self._log = log
        self._lease_id = 0
        self._renew_at = 0.0
        self._write_at = 0.0
        self._hand_again_at = 0.0
        self._written: bytes | None = None
        self._has_entry = False

    def load(self) -> FlowSnapshot | None:
        """Reads the list of the process before this one.

        Returns:
            The list, empty if there is none; None when the store does not answer: read
            again, and write nothing before, since that would replace the list.
        """
        try:
            entry = self._store.get(self._key)
        except StoreUnavailableError as error:
            self._log.decision("flow list not read", error=str(error))
            return None
        self._has_entry = entry is not None
        return decode_snapshot(entry.value) if entry else FlowSnapshot()

    def step(self, *, now: float, is_urgent: bool = False) -> None:
        """Has the list written if it has changed, or its writer may have forgotten it.

        Args:
            now: Clock reading, seconds.
            is_urgent: Whether the agent writes it itself at once, without the time in
                which a writer gathers lists.
        """
        try:
            value = encode_snapshot(self._flows())
        except TimeoutError:
            # The instance stood still; the next step collects again.
            self._log.fact("flow list not collected")
            return
        if not value and not self._has_entry:
            # No caller keeps a flow, and no list says otherwise: a lease would be made
            # and kept for nothing.
            return
        if is_urgent:
            self._write(value, now=now)
            return
        is_unchanged = value == self._written and not self._lease_id
        if is_unchanged and now < self._hand_again_at:
            return
        if self._upload(value, is_unchanged):
            # The entry goes with the writer's lease from now on.
            self._lease_id = 0
            self._written = value
            self._has_entry = True
            self._hand_again_at = now + RENEW_SECONDS
        elif now >= self._write_at:
            self._write_at = now + WRITE_SECONDS
            self._write(value, now=now)

    def _write(self, value: bytes, *, now: float) -> None:
        try:
            self._keep_lease(now=now)
            if value != self._written:
                put = Put(self._key, value, self._lease_id)
                self._store.transact((), (put,))
                self._written = value
                self._has_entry = True
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            # The list may be old then; it is written again with the next step.
            self._log.fact("flow list not written", error=str(error))
            self._lease_id = 0
            self._written = None

    def _keep_lease(self, *, now: float) -> None:
        if self._lease_id and now >= self._renew_at:
            if self._store.keep_alive(self._lease_id) <= 0:
                self._lease_id = 0
            self._renew_at = now + RENEW_SECONDS
        if not self._lease_id:
            self._lease_id = self._store.grant_lease(LEASE_SECONDS).lease_id
            self._renew_at = now + RENEW_SECONDS
            self._written = None


def snapshot_key(member_id: str) -> str:
    """Names the key of an agent's list.

    Args:
        member_id: The agent.

    Returns:
        The key.
    """
    return SNAPSHOT_PREFIX + member_id


def encode_snapshot(flows: FlowSnapshot) -> bytes:
    """Packs a list.

    Args:
        flows: The list; flows beyond the maximum are left out.

    Returns:
        The start of the upstream, the packets' size and the packets; nothing for a list
        without flows.
    """
    if not flows.packets:
        return b""
    packets = flows.packets[:FLOWS_MAXIMUM]
    size = len(packets[0]).to_bytes(_SIZE_BYTES, "big")
    return _encode_incarnation(flows.incarnation) + size + b"".join(packets)


def decode_snapshot(value: bytes) -> FlowSnapshot:
    """Unpacks what `encode_snapshot` wrote, also by an older version.

    Args:
        value: The bytes.

    Returns:
        The list; an empty one when it can't be read.
    """
    try:
        incarnation, body = _decode_incarnation(value)
    except (IndexError, ValueError):
        return FlowSnapshot()
    size = int.from_bytes(body[:_SIZE_BYTES], "big")
    rows = body[_SIZE_BYTES:]
    if not size or len(rows) % size:
        return FlowSnapshot()
    packets = (rows[start : start + size] for start in range(0, len(rows), size))
    return FlowSnapshot(tuple(packets), incarnation)


def _encode_incarnation(incarnation: Incarnation | None) -> bytes:
    name = incarnation.upstream_id.encode() if incarnation else b""
    if incarnation is None or not 0 < len(name) <= _ID_BYTES_MAXIMUM:
        return b""
    started = (incarnation.started_ms or 0).to_bytes(_START_BYTES, "big")
    return _NAMED + bytes((len(name),)) + started + name


def _decode_incarnation(value: bytes) -> tuple[Incarnation | None, bytes]:
    if not value.startswith(_NAMED):
        return None, value
    end = _NAME_HEADER_BYTES + value[len(_NAMED)]
    started = int.from_bytes(value[len(_NAMED) + 1 : _NAME_HEADER_BYTES], "big")
    name = value[_NAME_HEADER_BYTES:end].decode()
    return Incarnation(name, started or None), value[end:]
