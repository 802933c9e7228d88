"""Schedules the configuration reads of a balancer that holds an entry slot.

A holder reads all records once, then keeps one watch open on them. A middlebox that
loses the state of the connection can stall the watch without an error. The holder
therefore polls the root's revision every few seconds, and an idle watch is reopened.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from attrs import frozen

from siskinshift.kv.guard import Backoff


if TYPE_CHECKING:
    from random import Random

    from siskinshift.settings.generated import KvSettings


RETRY_BACKOFF = Backoff(minimum=0.2, maximum=5.0)
NEVER_READ = -1


@frozen
class ReadAll:
    """Read all records."""


@frozen
class CheckRoot:
    """Poll the revision of the root record."""


@frozen
class OpenWatch:
    """Open a watch.

    Attributes:
        start_revision: First revision to receive.
    """

    start_revision: int


ReadAction: TypeAlias = ReadAll | CheckRoot | OpenWatch


class ReadSchedule:
    """The read schedule of one balancer while it holds an entry slot."""

    def __init__(self, settings: KvSettings, *, random: Random) -> None:
        """Initializes the schedule with nothing read.

        Args:
            settings: Interval of root checks.
            random: Source of jitter.
        """
        self._check_interval = settings.check_interval
        self._random = random
        self._root_revision = NEVER_READ
        self._received_revision = 0
        self._is_watching = False
        self._next_check_at = 0.0
        self._retry_at = 0.0
        self._failures = 0

    def step(self, *, holds_slot: bool, now: float) -> ReadAction | None:
        """Returns the action that is due.

        Args:
            holds_slot: Whether an entry slot is currently held.
            now: Clock reading, seconds.

        Returns:
            An action whose result is to be reported, or None.
        """
        if not holds_slot:
            # Changes until the next slot would be missed, so the state is discarded.
            self._reset()
            return None
        if now < self._retry_at:
            return None
        if self._root_revision == NEVER_READ:
            return ReadAll()
        if not self._is_watching:
            self._is_watching = True
            return OpenWatch(self._received_revision + 1)
        if now >= self._next_check_at:
            self._next_check_at = now + self._check_interval * self._random.uniform(
                0.8, 1.0
            )
            return CheckRoot()
        return None

    def on_all_read(self, *, root_revision: int, revision: int, now: float) -> None:
        """Records the result of ReadAll.

        Args:
            root_revision: Revision of the root record, 0 without one.
            revision: Revision of the store at the time of the read.
            now: Clock reading, seconds.
        """
        self._failures = 0
        self._root_revision = root_revision
        self._received_revision = max(self._received_revision, revision)
        self._next_check_at = now + self._check_interval * self._random.uniform(
            0.8, 1.0
        )

    def on_root_checked(self, *, root_revision: int) -> None:
        """Records the result of CheckRoot.

        Args:
            root_revision: Revision of the root record, 0 without one.
        """
        self._failures = 0
        if root_revision > self._root_revision:
            # The watch missed the change or has not delivered it yet.
            self._root_revision = NEVER_READ

    def on_watch_batch(self, *, root_revision: int, revision: int) -> None:
        """Records a batch of the watch.

        Args:
            root_revision: Revision of the root record in the batch, 0 without one.
            revision: Revision up to which all changes were received.
        """
        self._failures = 0
        self._received_revision = max(self._received_revision, revision)
        if self._root_revision != NEVER_READ:
            self._root_revision = max(self._root_revision, root_revision)

    def on_watch_ended(self, *, compacted: bool = False) -> None:
        """Records that the watch ended, for example after its idle timeout.

        Args:
            compacted: Whether the store had compacted the requested revisions.
        """
        self._is_watching = False
        if compacted:
            self._root_revision = NEVER_READ

    def on_restored(self) -> None:
        """Records that the store was restored from an older copy.

        Revisions of the earlier generation mean something else now, so all records are
        read again, at the pace of failed requests if there were any.
        """
        self._root_revision = NEVER_READ
        self._received_revision = 0

    def on_failed(self, *, now: float) -> None:
        """Records a failed request.

        Args:
            now: Clock reading, seconds.
        """
        self._failures += 1
        self._retry_at = now + RETRY_BACKOFF.delay(self._failures, self._random)

    def _reset(self) -> None:
        self._root_revision = NEVER_READ
        self._received_revision = 0
        self._is_watching = False
        self._next_check_at = 0.0
        self._retry_at = 0.0
        self._failures = 0
