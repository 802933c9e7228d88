"""Follows the operators' configuration in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from attrs import frozen

from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.guard import Backoff
from siskinshift.kv.port import Watch


if TYPE_CHECKING:
    import threading
    from collections.abc import Callable
    from random import Random

    from siskinshift.kv.port import Snapshot
    from siskinshift.observability.event_log import EventLog
    from siskinshift.runtime.http_client import Transfer


# A change must be in force within three seconds of the store's return.
RETRY = Backoff(0.1, 0.6)


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
    def transfer(self) -> Transfer:
        """How far."""


class ConfigurationStore(Protocol):
    """The calls of a store that following needs; see KeyValueStore."""

    @property
    def transfer(self) -> Transfer:
        """How far the newest answer to a reading has come."""

    def list_prefix(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix."""

    def watch(self, prefix: str, start_revision: int) -> TransferringWatch:
        """Opens a watch."""


class ConfigurationFollower:
    """Reads the configuration once and waits for each change."""

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        key: str,
        on_reading: Callable[[ConfigurationReading], object],
        random: Random,
        log: EventLog,
    ) -> None:
        """Prepares.

        Args:
            store: The store; its answers are not older than the call.
            key: Key of the configuration.
            on_reading: Takes each reading, newest last.
            random: Source of the jitter.
            log: Takes a line when the store is lost or regained.
        """
        self._store = store
        self._key = key
        self._on_reading = on_reading
        self._random = random
        self._log = log
        self._failures = 0
        self._watch: TransferringWatch | None = None

    def stop(self) -> None:
        """Ends a wait in another thread; a process must not outlast its notice."""
        watch = self._watch
        if watch is not None:
            watch.close()

    @property
    def transfer(self) -> Transfer:
        """How far the newest answer has come; other threads may ask."""
        watch = self._watch
        return self._store.transfer if watch is None else watch.transfer

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
                if not self._failures:
                    self._log.fact("configuration lost", error=str(error))
                self._failures += 1
                stopping.wait(RETRY.pause(self._failures, self._random))

    def _follow(self, stopping: threading.Event) -> None:
        # Read by prefix, since that gives a revision to wait from also while there is
        # no configuration yet: operators may write it long after the nodes start.
        snapshot = self._store.list_prefix(self._key)
        self._regained()
        for entry in snapshot.entries:
            if entry.key == self._key:
                self._take(entry.value, self._store.transfer)
        self._watch = watch = self._store.watch(self._key, snapshot.revision + 1)
        try:
            for batch in watch:
                if stopping.is_set():
                    return
                self._regained()
                for changed in batch.entries:
                    if changed.key == self._key:
                        self._take(changed.value, watch.transfer)
        finally:
            self._watch = None
            watch.close()

    def _take(self, value: bytes, transfer: Transfer) -> None:
        self._on_reading(ConfigurationReading(value, seconds=transfer.seconds))

    def _regained(self) -> None:
        if self._failures:
            self._log.fact("configuration regained", failures=self._failures)
            self._failures = 0
