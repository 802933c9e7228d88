"""Extracts the operators' evacuations from reads and watches of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.evacuations import MAX_DOMAINS
from siskinshift.connections.evacuations import Evacuations
from siskinshift.control.exceptions import BadMessageError
from siskinshift.kv.generations import UNKNOWN_GENERATION


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.kv.generations import StorePosition
    from siskinshift.kv.port import Entry
    from siskinshift.kv.port import Snapshot
    from siskinshift.kv.port import WatchBatch
    from siskinshift.observability.event_log import EventLog


# Keys whose newest revision is kept, to recognize entries of a restored copy.
MAX_KNOWN_KEYS = 256


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
        # Newest revision that this process has read of each key, of removed keys too.
        self._revisions_by_key: dict[str, int] = {}
        self._generation = UNKNOWN_GENERATION
        self._has_read = False
        self._decided: set[str] = set()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces all entries by those of a complete read.

        Args:
            snapshot: The entries; those with another prefix are ignored.
        """
        is_restored = self._has_read and snapshot.generation != self._generation
        if is_restored:
            self._decided.clear()
        self._generation = snapshot.generation
        before = dict(self._domains_by_key)
        known = dict(self._revisions_by_key)
        self._domains_by_key.clear()
        for entry in snapshot.entries:
            self._put(entry)
        # An entry with the revision that was read before comes from the copy; any other
        # may have been written since, also if this process has just started. An entry
        # that is missing after a restore was lost with the copy or removed since, which
        # the store does not tell.
        written = {
            domain
            for key, domain in self._domains_by_key.items()
            if self._revisions_by_key[key] != known.get(key)
        }
        removed = set(before.values()) - set(self._domains_by_key.values())
        self._decided |= written if is_restored else written | removed
        self._has_read = True
        self._publish(snapshot.position)

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
            # The read that follows may not show an order that has ended already.
            for entry in written:
                self._put(entry)
                self._decide(entry.key)
            return False
        if not written and not removed:
            return True
        for entry in written:
            self._put(entry)
            self._decide(entry.key)
        for key in removed:
            self._decide(key)
            self._domains_by_key.pop(key, None)
        self._publish(batch.position)
        return True

    def _decide(self, key: str) -> None:
        """Records that operators have written or removed an entry."""
        domain = self._domains_by_key.get(key)
        if domain is not None:
            self._decided.add(domain)

    def _put(self, entry: Entry) -> None:
        if not entry.key.startswith(self._prefix):
            return
        self._domains_by_key.pop(entry.key, None)
        self._revisions_by_key.pop(entry.key, None)
        self._revisions_by_key[entry.key] = entry.revision
        if len(self._revisions_by_key) > MAX_KNOWN_KEYS:
            del self._revisions_by_key[next(iter(self._revisions_by_key))]
        try:
            domain = self._decode_domain(entry)
        except BadMessageError as error:
            self._log.fact("evacuation refused", key=entry.key, error=str(error))
            return
        self._domains_by_key[entry.key] = domain

    def _publish(self, position: StorePosition) -> None:
        domains = sorted(set(self._domains_by_key.values()))
        if len(domains) > MAX_DOMAINS:
            self._log.fact("evacuations cut", domains=len(domains), kept=MAX_DOMAINS)
        published = frozenset(domains[:MAX_DOMAINS])
        if position.generation == UNKNOWN_GENERATION:
            self._on_evacuations(Evacuations(position.revision, published))
            return
        # With more decided domains than a message holds, the store alone decides.
        is_settled = len(self._decided) > MAX_DOMAINS
        self._on_evacuations(
            Evacuations(
                position.revision,
                published,
                position.generation,
                decided=frozenset(() if is_settled else self._decided),
                is_settled=is_settled,
            )
        )
