"""Runs an application in the foreground until a signal ends it."""

from __future__ import annotations

import signal
import threading
from typing import Protocol
from typing import runtime_checkable


class Startable(Protocol):
    """Something with a life cycle."""

    def start(self) -> None:
        """Starts."""

    def stop(self) -> None:
        """Stops."""


@runtime_checkable
class Leaving(Protocol):
    """Something that can leave without cutting what is in progress."""

    def leave(self, at_once: threading.Event) -> None:
        """Leaves; returns early when the event is set."""


def run_until_signal(application: Startable) -> None:
    """Runs the application; the first signal lets it leave, the second ends it.

    Args:
        application: What to run.
    """
    leaving = threading.Event()
    at_once = threading.Event()

    def on_signal(*_: object) -> None:
        if leaving.is_set():
            at_once.set()
        leaving.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    application.start()
    leaving.wait()
    if isinstance(application, Leaving):
        application.leave(at_once)
    application.stop()
