"""Extracts the operators' evacuations from reads and watches of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.evacuations import MAX_DOMAINS
from siskinshift.connections.evacuations import Evacuations
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.kv.port import Entry
    from siskinshift.kv.port import Snapshot
    from siskinshift.kv.port import WatchBatch
    from siskinshift.observability.event_log import EventLog


class EvacuationReader:
    """Tracks the evacuated domains by the key of their entry."""

    def __init__(
        self,
        *,
        prefix: str,
        decode_domain: Callable[[Entry], str],
        on_evacuations: Callable[[Evacuations], object],
        log: EventLog,
    ) -> None:
        """Initializes the reader without entries.

        Args:
            prefix: Prefix of the entries' keys.
            decode_domain: Returns the failure domain of an entry; raises
                BadMessageError for an invalid entry.
            on_evacuations: Called with the evacuations after each change.
            log: Event log.
        """
        self._prefix = prefix
        self._decode_domain = decode_domain
        self._on_evacuations = on_evacuations
        self._log = log
        self._domains_by_key: dict[str, str] = {}

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces all entries by those of a complete read.

        Args:
            snapshot: The entries; those with another prefix are ignored.
        """
        self._domains_by_key.clear()
        for entry in snapshot.entries:
            self._put(entry)
        self._publish(snapshot.revision)

    def apply(self, batch: WatchBatch) -> bool:
        """Applies changes from a watch.

        Args:
            batch: The changes.

        Returns:
            Whether they were applied. If an entry was both written and removed, they
            are not and the entries have to be read again, since a batch does not
            contain the order of the two.
        """
        written = [e for e in batch.entries if e.key.startswith(self._prefix)]
        removed = [k for k in batch.deleted_keys if k.startswith(self._prefix)]
        if {entry.key for entry in written} & set(removed):
            return False
        if not written and not removed:
            return True
        for entry in written:
            self._put(entry)
        for key in removed:
            self._domains_by_key.pop(key, None)
        self._publish(batch.revision)
        return True

    def _put(self, entry: Entry) -> None:
        if not entry.key.startswith(self._prefix):
            return
        self._domains_by_key.pop(entry.key, None)
        try:
            domain = self._decode_domain(entry)
        except BadMessageError as error:
            self._log.fact("evacuation refused", key=entry.key, error=str(error))
            return
        self._domains_by_key[entry.key] = domain

    def _publish(self, revision: int) -> None:
        domains = sorted(set(self._domains_by_key.values()))
        if len(domains) > MAX_DOMAINS:
            self._log.fact("evacuations cut", domains=len(domains), kept=MAX_DOMAINS)
        published = frozenset(domains[:MAX_DOMAINS])
        self._on_evacuations(Evacuations(revision, published))
