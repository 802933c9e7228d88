"""Follows the operators' configuration in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.guard import Backoff


if TYPE_CHECKING:
    import threading
    from collections.abc import Callable
    from random import Random

    from siskinshift.kv.port import KeyValueStore
    from siskinshift.kv.port import Watch
    from siskinshift.observability.event_log import EventLog


# A change must be in force within three seconds of the store's return.
RETRY = Backoff(0.1, 0.6)


class ConfigurationFollower:
    """Reads the configuration once and waits for each change."""

    def __init__(
        self,
        *,
        store: KeyValueStore,
        key: str,
        on_value: Callable[[bytes], object],
        random: Random,
        log: EventLog,
    ) -> None:
        """Prepares.

        Args:
            store: The store; its answers are not older than the call.
            key: Key of the configuration.
            on_value: Takes each value, newest last.
            random: Source of the jitter.
            log: Takes a line when the store is lost or regained.
        """
        self._store = store
        self._key = key
        self._on_value = on_value
        self._random = random
        self._log = log
        self._failures = 0
        self._watch: Watch | None = None

    def stop(self) -> None:
        """Ends a wait in another thread; a process must not outlast its notice."""
        if self._watch is not None:
            self._watch.close()

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
                self._on_value(entry.value)
        self._watch = self._store.watch(self._key, snapshot.revision + 1)
        try:
            for batch in self._watch:
                if stopping.is_set():
                    return
                self._regained()
                for changed in batch.entries:
                    if changed.key == self._key:
                        self._on_value(changed.value)
        finally:
            self._watch.close()

    def _regained(self) -> None:
        if self._failures:
            self._log.fact("configuration regained", failures=self._failures)
            self._failures = 0
