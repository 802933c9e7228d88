"""Logs messages through eliot, with a fixed prefix for each component."""

from __future__ import annotations

import sys
import threading
from typing import TYPE_CHECKING
from typing import TextIO
from typing import TypeAlias

from siskinshift.core.clocks import monotonic_clock
from siskinshift.observability.rate_limiter import LogRateLimiter


if TYPE_CHECKING:
    from siskinshift.core.clocks import Clock
    from siskinshift.settings.generated import LogsSettings


LogValue: TypeAlias = str | int | float | bool | None

LEVELS = ("off", "error", "info", "debug")


class _LogConfiguration:
    """Process-wide level and destination, because eliot's destinations are global."""

    def __init__(self) -> None:
        self.level = LEVELS.index("off")
        self.destination: object | None = None

    def is_enabled(self, level: str) -> bool:
        return LEVELS.index(level) <= self.level


_configuration = _LogConfiguration()


def configure_logs(settings: LogsSettings, stream: TextIO | None = None) -> None:
    """Configures logging as one JSON object per line.

    A later call replaces the level and the destination of an earlier one.

    Args:
        settings: Settings with the log level.
        stream: Destination; standard error by default.
    """
    # Imported here and in `_write`: loading eliot took 70 to 100 ms on a busy machine,
    # which would delay the restart of a node that does not use these logs.
    import eliot

    _configuration.level = LEVELS.index(settings.level)
    if _configuration.destination is not None:
        eliot.remove_destination(_configuration.destination)
        _configuration.destination = None
    if settings.level != "off":
        _configuration.destination = eliot.FileDestination(file=stream or sys.stderr)
        eliot.add_destinations(_configuration.destination)


class ComponentLog:
    """Logger of one component; thread-safe."""

    def __init__(self, component: str, *, clock: Clock = monotonic_clock) -> None:
        """Initializes the logger of a component.

        Args:
            component: Prefix of each message, such as "agent".
            clock: Clock for the rate limit of repeated faults.
        """
        self._component = component
        self._clock = clock
        self._rate_limiter = LogRateLimiter()
        self._lock = threading.Lock()

    def info(self, message: str, **fields: LogValue) -> None:
        """Logs an event at the level info.

        Args:
            message: A short sentence that ends with a full stop.
            fields: Structured values.
        """
        if _configuration.is_enabled("info"):
            self._write("info", message, fields)

    def error(self, message: str, **fields: LogValue) -> None:
        """Logs a rare fault.

        Args:
            message: A short sentence that ends with a full stop.
            fields: Structured values.
        """
        if _configuration.is_enabled("error"):
            self._write("error", message, fields)

    def repeated(self, key: str, message: str, **fields: LogValue) -> None:
        """Logs a fault that may repeat with each datagram, subject to a rate limit.

        Args:
            key: Identifier of the fault; lines with the same key share a rate limit.
            message: A short sentence that ends with a full stop.
            fields: Structured values.
        """
        if not _configuration.is_enabled("error"):
            return
        with self._lock:
            permit = self._rate_limiter.permit(key, now=self._clock())
        if permit is None:
            return
        self._write("error", message, fields | {"suppressed": permit.suppressed})

    def _write(self, level: str, message: str, fields: dict[str, LogValue]) -> None:
        import eliot

        eliot.log_message(
            message_type=f"siskinshift:{self._component}",
            level=level,
            message=f"{self._component}: {message}",
            **fields,
        )
