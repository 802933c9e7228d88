"""Generations of a store that may be restored from an older copy.

A restore takes back acknowledged writes, and the store gives out the same revisions and
lease ids again. The store numbers its restores in the header `Store-Era` of every
response. A revision is comparable only together with this generation.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from attrs import frozen


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from siskinshift.observability.event_log import EventLog


# Name of the header as clients of this project collect it.
GENERATION_HEADER = "store-era"
# Generation of a store that does not send the header. It is below every other, so that
# positions in such a store are ordered by their revision alone.
UNKNOWN_GENERATION = -1
# Generations are sent to peers as JSON numbers.
MAX_GENERATION = (1 << 53) - 1
_MAX_DIGITS = 15


@frozen
class StorePosition:
    """A revision with the generation of the store that gave it.

    Attributes:
        generation: Generation of the store; UNKNOWN_GENERATION without one.
        revision: Revision of the store.
    """

    generation: int = UNKNOWN_GENERATION
    revision: int = 0

    def __lt__(self, other: StorePosition) -> bool:
        return (self.generation, self.revision) < (other.generation, other.revision)


class GenerationTracker:
    """Learns the generation of a store from its responses; thread-safe."""

    def __init__(
        self,
        *,
        log: EventLog | None = None,
        on_fault: Callable[[str, str], object] = lambda reason, value: None,
    ) -> None:
        """Initializes the tracker without a generation.

        Args:
            log: Event log; None for no log lines.
            on_fault: Called with the reason and the value of the first of consecutive
                faulty headers.
        """
        self._log = log
        self._on_fault = on_fault
        self._lock = threading.Lock()
        self._current = UNKNOWN_GENERATION
        self._has_responses = False
        self._is_header_faulty = False
        self._listeners: list[Callable[[], object]] = []

    @property
    def current(self) -> int:
        """The newest generation; UNKNOWN_GENERATION before the first."""
        return self._current

    def add_listener(self, listener: Callable[[], object]) -> None:
        """Adds a function to call after each change.

        Args:
            listener: The function; called on the thread that received the response.
        """
        self._listeners.append(listener)

    def observe(self, headers: Mapping[str, str], *, sent_in: int) -> int | None:
        """Handles the headers of a response.

        Args:
            headers: Headers of the response, names in lower case.
            sent_in: The tracker's generation when the request was sent.

        Returns:
            Generation of the response; None if the store was restored after it sent the
            response, whose content is then obsolete.
        """
        with self._lock:
            observed = self._decode(headers.get(GENERATION_HEADER))
            if observed is None:
                self._has_responses = True
                return self._current
            if observed < self._current:
                if sent_in < self._current:
                    return None
                self._report_fault("falling", observed)
                return self._current
            self._is_header_faulty = False
            previous, self._current = self._current, observed
            has_changed = observed != previous
            # The first response of a process only tells the generation.
            is_restore = has_changed and self._has_responses
            self._has_responses = True
        if has_changed and self._log is not None:
            event = "store restored" if is_restore else "store generation"
            self._log.fact(event, generation=observed, previous=previous)
            self._log.metrics.set_gauge("store_generation", observed)
        if is_restore:
            for listener in self._listeners:
                listener()
        return observed

    def _decode(self, value: str | None) -> int | None:
        if value is None:
            if self._current != UNKNOWN_GENERATION:
                self._report_fault("missing", value)
            return None
        text = value.strip()
        if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS):
            self._report_fault("malformed", value)
            return None
        return int(text)

    def _report_fault(self, reason: str, value: str | int | None) -> None:
        # One line for consecutive responses with a fault: a node receives several
        # responses a second.
        if self._is_header_faulty:
            return
        self._is_header_faulty = True
        shown = str(value)[:_MAX_DIGITS]
        self._on_fault(reason, shown)
        if self._log is not None:
            self._log.fact(
                "store generation refused",
                reason=reason,
                value=shown,
                kept=self._current,
            )
