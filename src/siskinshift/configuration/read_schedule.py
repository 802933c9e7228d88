"""Decides when a holder of an entry slot reads the configuration.

A holder reads all records once, then keeps one watch open on them. The watch may go
silent without an error, because something on the way lost track of the connection; so
the root's revision is asked for every few seconds, and a silent watch is opened again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from attrs import frozen

from siskinshift.kv.guard import Backoff


if TYPE_CHECKING:
    from random import Random

    from siskinshift.settings.generated import KvSettings


RETRY = Backoff(minimum=0.2, maximum=5.0)
NEVER_READ = -1


@frozen
class ReadAll:
    """Read all records."""


@frozen
class CheckRoot:
    """Ask for the revision of the root record."""


@frozen
class OpenWatch:
    """Open a watch.

    Attributes:
        start_revision: First revision to see.
    """

    start_revision: int


ReadingAction: TypeAlias = ReadAll | CheckRoot | OpenWatch


class ConfigurationReading:
    """One balancer's reading while it holds an entry slot."""

    def __init__(self, settings: KvSettings, *, random: Random) -> None:
        """Starts with nothing read.

        Args:
            settings: Intervals.
            random: Source of jitter.
        """
        self._check_interval = settings.check_interval
        self._random = random
        self._root_revision = NEVER_READ
        self._seen_revision = 0
        self._is_watching = False
        self._check_at = 0.0
        self._retry_at = 0.0
        self._failures = 0

    def step(self, *, holds_slot: bool, now: float) -> ReadingAction | None:
        """Decides what to do now.

        Args:
            holds_slot: Whether an entry slot is held right now.
            now: Clock reading, seconds.

        Returns:
            One action to carry out and report, or None.
        """
        if not holds_slot:
            # What happened until the next slot is unknown; it begins anew.
            self._forget()
            return None
        if now < self._retry_at:
            return None
        if self._root_revision == NEVER_READ:
            return ReadAll()
        if not self._is_watching:
            self._is_watching = True
            return OpenWatch(self._seen_revision + 1)
        if now >= self._check_at:
            self._check_at = now + self._check_interval * self._random.uniform(0.8, 1.0)
            return CheckRoot()
        return None

    def on_read(self, *, root_revision: int, revision: int, now: float) -> None:
        """Takes note of what ReadAll read.

        Args:
            root_revision: Revision of the root record, 0 without one.
            revision: Revision of the store at that time.
            now: Clock reading, seconds.
        """
        self._failures = 0
        self._root_revision = root_revision
        self._seen_revision = max(self._seen_revision, revision)
        self._check_at = now + self._check_interval * self._random.uniform(0.8, 1.0)

    def on_checked(self, *, root_revision: int) -> None:
        """Takes the answer to CheckRoot.

        Args:
            root_revision: Revision of the root record, 0 without one.
        """
        self._failures = 0
        if root_revision > self._root_revision:
            # The watch missed it, or has not brought it yet.
            self._root_revision = NEVER_READ

    def on_watched(self, *, root_revision: int, revision: int) -> None:
        """Takes note of a batch of the watch.

        Args:
            root_revision: Revision of the root record in it, 0 without one.
            revision: Revision up to which all was seen.
        """
        self._failures = 0
        self._seen_revision = max(self._seen_revision, revision)
        if self._root_revision != NEVER_READ:
            self._root_revision = max(self._root_revision, root_revision)

    def on_watch_ended(self, *, compacted: bool = False) -> None:
        """Takes note that the watch ended, after a silence for instance.

        Args:
            compacted: Whether the store no longer kept what the watch asked for.
        """
        self._is_watching = False
        if compacted:
            self._root_revision = NEVER_READ

    def on_failed(self, *, now: float) -> None:
        """Takes note of a call without a good answer.

        Args:
            now: Clock reading, seconds.
        """
        self._failures += 1
        self._retry_at = now + RETRY.delay(self._failures, self._random)

    def _forget(self) -> None:
        self._root_revision = NEVER_READ
        self._seen_revision = 0
        self._is_watching = False
        self._check_at = 0.0
        self._retry_at = 0.0
        self._failures = 0
