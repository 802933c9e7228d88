"""Logs: short sentences by eliot, with a fixed prefix for each part."""

from __future__ import annotations

import sys
import threading
from typing import TYPE_CHECKING
from typing import TextIO
from typing import TypeAlias

from siskinshift.core.clocks import monotonic_clock
from siskinshift.observability.rate_bound import RateBound


if TYPE_CHECKING:
    from siskinshift.core.clocks import Clock
    from siskinshift.settings.generated import LogsSettings


LogValue: TypeAlias = str | int | float | bool | None

LEVELS = ("off", "error", "info", "debug")


class _LogSwitch:
    """The process-wide level; eliot's destinations are process-wide as well."""

    def __init__(self) -> None:
        self.level = LEVELS.index("off")
        self.destination: object | None = None

    def allows(self, level: str) -> bool:
        return LEVELS.index(level) <= self.level


_switch = _LogSwitch()


def configure_logs(settings: LogsSettings, stream: TextIO | None = None) -> None:
    """Sends logs as one JSON object a line; a later call replaces an earlier one.

    Args:
        settings: Chosen level.
        stream: Where to; standard error by default.
    """
    # Imported here and in `_write`: the library took 70 to 100 ms to load on a busy
    # machine, which a restarted node without these logs need not wait for.
    import eliot

    _switch.level = LEVELS.index(settings.level)
    if _switch.destination is not None:
        eliot.remove_destination(_switch.destination)
        _switch.destination = None
    if settings.level != "off":
        _switch.destination = eliot.FileDestination(file=stream or sys.stderr)
        eliot.add_destinations(_switch.destination)


class ComponentLog:
    """Logs of one part of the system; safe to share between threads."""

    def __init__(self, part: str, *, clock: Clock = monotonic_clock) -> None:
        """Prepares the log of a part.

        Args:
            part: Prefix of each sentence, such as "agent".
            clock: Clock that bounds repeated faults.
        """
        self._part = part
        self._clock = clock
        self._bound = RateBound()
        self._lock = threading.Lock()

    def info(self, sentence: str, **fields: LogValue) -> None:
        """Logs something that operators want to know.

        Args:
            sentence: A short sentence with its full stop.
            fields: Values that machines read.
        """
        if _switch.allows("info"):
            self._write("info", sentence, fields)

    def error(self, sentence: str, **fields: LogValue) -> None:
        """Logs a fault that happens seldom.

        Args:
            sentence: A short sentence with its full stop.
            fields: Values that machines read.
        """
        if _switch.allows("error"):
            self._write("error", sentence, fields)

    def repeated(self, key: str, sentence: str, **fields: LogValue) -> None:
        """Logs a fault that may repeat with each datagram, at a bounded rate.

        Args:
            key: Names the fault; lines of one key share a bound.
            sentence: A short sentence with its full stop.
            fields: Values that machines read.
        """
        if not _switch.allows("error"):
            return
        with self._lock:
            permit = self._bound.permit(key, now=self._clock())
        if permit is None:
            return
        self._write("error", sentence, fields | {"suppressed": permit.suppressed})

    def _write(self, level: str, sentence: str, fields: dict[str, LogValue]) -> None:
        import eliot

        eliot.log_message(
            message_type=f"siskinshift:{self._part}",
            level=level,
            message=f"{self._part}: {sentence}",
            **fields,
        )
