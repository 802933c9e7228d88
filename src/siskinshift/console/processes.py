"""Runs an application in the foreground until a signal ends it."""

from __future__ import annotations

import signal
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol
from typing import runtime_checkable


ENDING_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
# How soon the end of leaving is seen; nobody waits for less.
POLL_SECONDS = 0.1


class Startable(Protocol):
    """Something with a life cycle."""

    def start(self) -> None:
        """Starts."""

    def stop(self) -> None:
        """Stops."""


@runtime_checkable
class Leaving(Protocol):
    """Something that can leave without cutting what is in progress."""

    def leave(self, stop_now: threading.Event) -> None:
        """Leaves; returns early when the event is set."""


def run_until_signal(application: Startable) -> None:
    """Runs the application; the first signal lets it leave, the second ends it.

    The signals are blocked and waited for. A handler that sets an event would hang
    the process for ever when the signal comes while the main thread, on its way
    into the wait, holds the event's lock: the handler runs on that same thread.

    Args:
        application: What to run.
    """
    # Threads inherit the mask, so it is set before any of them starts.
    signal.pthread_sigmask(signal.SIG_BLOCK, ENDING_SIGNALS)
    application.start()
    signal.sigwait(ENDING_SIGNALS)
    if isinstance(application, Leaving):
        _leave(application)
    application.stop()


def _leave(application: Leaving) -> None:
    stop_now = threading.Event()
    with ThreadPoolExecutor(1, "leave") as executor:
        left = executor.submit(application.leave, stop_now)
        while not left.done():
            if signal.sigtimedwait(ENDING_SIGNALS, POLL_SECONDS) is not None:
                stop_now.set()
    left.result()
