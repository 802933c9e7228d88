"""Follows what operators write to the store: the configuration and evacuations."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from attrs import frozen

from siskinshift.connections.store_contact import StoreContact
from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.guard import Backoff
from siskinshift.kv.port import Watch


if TYPE_CHECKING:
    import threading
    from collections.abc import Callable
    from random import Random

    from siskinshift.connections.evacuation_reader import EvacuationReader
    from siskinshift.kv.port import Entry
    from siskinshift.kv.port import Snapshot
    from siskinshift.observability.event_log import EventLog
    from siskinshift.runtime.http_client import TransferProgress


# A change must be in force within three seconds of the store's return.
RETRY = Backoff(0.1, 0.6)
# Source of what no peer gave.
STORE = "store"


@frozen
class ConfigurationReading:
    """A configuration as it was read, and what its reading took.

    Attributes:
        value: As the store holds it.
        source: Who gave it: the store or a peer's id.
        seconds: From the first part of the answer to its last.
    """

    value: bytes
    source: str = STORE
    seconds: float = 0.0


class TransferringWatch(Watch, Protocol):
    """A watch that tells how far its newest answer has come."""

    @property
    def transfer(self) -> TransferProgress:
        """How far it has come."""


class ConfigurationStore(Protocol):
    """The calls of a store that following needs; see KeyValueStore."""

    @property
    def transfer(self) -> TransferProgress:
        """How far the newest answer to a reading has come."""

    def list_prefix(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix."""

    def watch(self, prefix: str, start_revision: int) -> TransferringWatch:
        """Opens a watch."""


class ConfigurationFollower:
    """Reads once and waits for each change, both kinds in one call of the store."""

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        prefix: str,
        key: str,
        evacuations: EvacuationReader,
        on_reading: Callable[[ConfigurationReading], object],
        random: Random,
        log: EventLog,
    ) -> None:
        """Prepares.

        Args:
            store: The store; its answers are not older than the call.
            prefix: Prefix of all that operators write.
            key: Key of the configuration.
            evacuations: Takes each reading and each change before the configuration.
            on_reading: Takes each reading of the configuration, newest last.
            random: Source of the jitter.
            log: Takes a line when the store is lost or regained.
        """
        self._store = store
        self._prefix = prefix
        self._key = key
        self._evacuations = evacuations
        self._on_reading = on_reading
        self._log = log
        self._contact = StoreContact(
            "configuration", retry=RETRY, random=random, log=log
        )
        self._is_behind = False
        self._read_revision = 0
        self._watch: TransferringWatch | None = None

    def stop(self) -> None:
        """Ends a wait in another thread; a process must not outlast its notice."""
        watch = self._watch
        if watch is not None:
            watch.close()

    @property
    def transfer(self) -> TransferProgress:
        """How far the newest answer has come; other threads may ask."""
        watch = self._watch
        return self._store.transfer if watch is None else watch.transfer

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._contact.is_lost

    def follow_until(self, stopping: threading.Event) -> None:
        """Follows until told to stop.

        Args:
            stopping: Ends the loop when set.
        """
        while not stopping.is_set():
            try:
                self._follow(stopping)
            except StoreCompactedError:
                self._log.fact("configuration history lost")
            except StoreUnavailableError as error:
                stopping.wait(self._contact.failed(error))

    def _follow(self, stopping: threading.Event) -> None:
        revision = self._read_newest(stopping)
        self._watch = watch = self._store.watch(self._prefix, revision + 1)
        try:
            for batch in watch:
                if stopping.is_set():
                    return
                self._contact.succeeded()
                if not self._evacuations.apply(batch):
                    return
                changes = [e for e in batch.entries if e.key == self._key]
                if changes:
                    self._take(changes[-1], watch.transfer)
                if len(changes) > 1:
                    self._is_behind = True
                    return
        finally:
            self._watch = None
            watch.close()

    def _read_newest(self, stopping: threading.Event) -> int:
        """Reads until nothing newer came meanwhile, if changes come fast.

        Guards against changes that come faster than they can be read. A wait hands over
        all that was missed, whole: of 18 changes of 530 KB in 6 s a link of 7 Mbit/s
        carries a half, and each wait held more than the one before. A reading holds the
        newest alone, so the balancer is never further behind than two readings.

        Returns:
            Revision to wait from.
        """
        while True:
            # By prefix, since that gives a revision to wait from also while there is no
            # configuration yet: operators may write it long after the nodes start.
            snapshot = self._store.list_prefix(self._prefix)
            self._contact.succeeded()
            self._evacuations.read(snapshot)
            known = self._read_revision
            for entry in snapshot.entries:
                if entry.key == self._key:
                    self._take(entry, self._store.transfer)
            is_newer = self._read_revision > known
            self._is_behind = self._is_behind and is_newer
            if not self._is_behind or stopping.is_set():
                return snapshot.revision

    def _take(self, entry: Entry, transfer: TransferProgress) -> None:
        self._read_revision = entry.revision
        reading = ConfigurationReading(entry.value, seconds=transfer.seconds)
        self._on_reading(reading)
