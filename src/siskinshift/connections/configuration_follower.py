"""Follows the configuration and the evacuations that operators write to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from attrs import frozen

from siskinshift.connections.store_availability import StoreAvailability
from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreRestoredError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.generations import UNKNOWN_GENERATION
from siskinshift.kv.generations import StorePosition
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


# A change must be in force within three seconds of the store's recovery.
RETRY_BACKOFF = Backoff(0.1, 0.6)
# Source of a configuration that was not received from a peer.
STORE_SOURCE = "store"


@frozen
class ReceivedConfiguration:
    """An encoded configuration from the store or a peer, with its transfer time.

    Attributes:
        value: Value of the entry in the store.
        source: The store, or the id of the peer that sent it.
        seconds: Time from the first part of the response to its last.
    """

    value: bytes
    source: str = STORE_SOURCE
    seconds: float = 0.0


class TransferringWatch(Watch, Protocol):
    """A watch that reports the progress of its newest response."""

    @property
    def transfer(self) -> TransferProgress:
        """Progress of the newest response."""


class ConfigurationStore(Protocol):
    """The operations of a store that the follower needs; see KeyValueStore."""

    @property
    def transfer(self) -> TransferProgress:
        """Progress of the newest response to a read."""

    def list_prefix(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix."""

    def watch(
        self, prefix: str, start_revision: int, generation: int = UNKNOWN_GENERATION
    ) -> TransferringWatch:
        """Opens a watch."""


class ConfigurationFollower:
    """Reads configuration and evacuations, then follows both with one watch."""

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        prefix: str,
        key: str,
        evacuations: EvacuationReader,
        on_configuration: Callable[[ReceivedConfiguration], object],
        random: Random,
        log: EventLog,
    ) -> None:
        """Initializes the follower.

        Args:
            store: The store; its responses are not older than the request.
            prefix: Prefix of all entries that operators write.
            key: Key of the configuration.
            evacuations: Reader of evacuations, called with each read and each change
                before `on_configuration`.
            on_configuration: Called with each configuration that was read, newest last.
            random: Source of the jitter.
            log: Event log.
        """
        self._store = store
        self._prefix = prefix
        self._key = key
        self._evacuations = evacuations
        self._on_configuration = on_configuration
        self._log = log
        self._availability = StoreAvailability(
            "configuration", retry=RETRY_BACKOFF, random=random, log=log
        )
        self._is_behind = False
        self._read_position = StorePosition()
        self._resume_position: StorePosition | None = None
        self._watch: TransferringWatch | None = None

    def stop(self) -> None:
        """Closes the watch; a process must end within its shutdown grace period."""
        watch = self._watch
        if watch is not None:
            watch.close()

    def read_again(self) -> None:
        """Ends a watch that waits on a store that was restored."""
        watch = self._watch
        if watch is not None:
            watch.close()

    @property
    def transfer(self) -> TransferProgress:
        """Progress of the newest response; may be read on other threads."""
        watch = self._watch
        return self._store.transfer if watch is None else watch.transfer

    @property
    def is_failing(self) -> bool:
        """Whether the last request failed."""
        return self._availability.is_unavailable

    def follow_until(self, stopping: threading.Event) -> None:
        """Follows until the event is set.

        Args:
            stopping: Ends the loop when set.
        """
        while not stopping.is_set():
            try:
                self._follow(stopping)
            except StoreRestoredError:
                # Positions of the earlier generation mean something else now. The
                # configuration itself is ordered by its version.
                self._log.fact("configuration read again", reason="store restored")
            except StoreCompactedError:
                self._log.fact("configuration history lost")
            except StoreUnavailableError as error:
                stopping.wait(self._availability.record_failure(error))

    def _follow(self, stopping: threading.Event) -> None:
        resumed, self._resume_position = self._resume_position, None
        position = resumed or self._read_newest(stopping)
        self._watch = watch = self._store.watch(
            self._prefix, position.revision + 1, position.generation
        )
        try:
            for batch in watch:
                if stopping.is_set():
                    return
                self._availability.record_success()
                if not self._evacuations.apply(batch):
                    return
                resumed, position = None, batch.position
                changes = [e for e in batch.entries if e.key == self._key]
                if changes:
                    self._handle_entry(changes[-1], watch.transfer)
                if len(changes) > 1:
                    self._is_behind = True
                    return
        except StoreCompactedError:
            raise
        except StoreUnavailableError:
            if resumed is None:
                # A response was lost: the poll is repeated on a new connection before
                # everything is read again, which takes seconds on a slow link.
                self._resume_position = position
            raise
        finally:
            self._watch = None
            watch.close()

    def _read_newest(self, stopping: threading.Event) -> StorePosition:
        """Reads the newest entries; repeats the read if the follower has fallen behind.

        Changes may arrive faster than they can be read. A watch returns all missed
        changes in full: with 18 changes of 530 KB in 6 s, a link of 7 Mbit/s carries
        half of them, and each response was longer than the one before. A read returns
        only the newest, so the balancer is never more than two reads behind.

        Returns:
            Position from which to watch.
        """
        while True:
            # Read by prefix, since that returns a revision to watch from even if there
            # is no configuration yet: operators may write it long after the nodes
            # start.
            snapshot = self._store.list_prefix(self._prefix)
            self._availability.record_success()
            self._evacuations.apply_snapshot(snapshot)
            known = self._read_position
            for entry in snapshot.entries:
                if entry.key == self._key:
                    self._handle_entry(entry, self._store.transfer)
            is_newer = self._read_position > known
            self._is_behind = self._is_behind and is_newer
            if not self._is_behind or stopping.is_set():
                return snapshot.position

    def _handle_entry(self, entry: Entry, transfer: TransferProgress) -> None:
        self._read_position = StorePosition(entry.generation, entry.revision)
        received = ReceivedConfiguration(entry.value, seconds=transfer.seconds)
        self._on_configuration(received)
