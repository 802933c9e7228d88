"""Runs an application in the foreground until a signal ends it."""

from __future__ import annotations

import signal
import threading
from typing import Protocol


class Startable(Protocol):
    """Something with a life cycle."""

    def start(self) -> None:
        """Starts."""

    def stop(self) -> None:
        """Stops."""


def run_until_signal(application: Startable) -> None:
    """Starts the application and stops it on SIGTERM or SIGINT.

    Args:
        application: What to run.
    """
    ending = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ending.set())
    application.start()
    ending.wait()
    application.stop()
