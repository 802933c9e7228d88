"""Runs an application in the foreground until it receives a termination signal."""

from __future__ import annotations

import signal
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol
from typing import runtime_checkable


TERMINATION_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
# Delay until the end of a graceful leave is detected; a shorter one would not matter.
POLL_INTERVAL_SECONDS = 0.1


class Startable(Protocol):
    """An application that can be started and stopped."""

    def start(self) -> None:
        """Starts the application."""

    def stop(self) -> None:
        """Stops the application."""


@runtime_checkable
class SupportsLeave(Protocol):
    """An application that can leave without interrupting work in progress."""

    def leave(self, stop_now: threading.Event) -> None:
        """Leaves gracefully; returns early if the event is set."""


def run_until_signal(application: Startable) -> None:
    """Runs an application until it is terminated by signals.

    The first signal starts a graceful leave and the second one ends it early.

    The signals are blocked and received with `sigwait`. A signal handler that sets an
    event could deadlock: handlers run on the main thread, which may already hold the
    event's lock when it enters the wait.

    Args:
        application: The application to run.
    """
    # Threads inherit the signal mask, so it is set before any thread starts.
    signal.pthread_sigmask(signal.SIG_BLOCK, TERMINATION_SIGNALS)
    application.start()
    signal.sigwait(TERMINATION_SIGNALS)
    if isinstance(application, SupportsLeave):
        _leave(application)
    application.stop()


def _leave(application: SupportsLeave) -> None:
    stop_now = threading.Event()
    with ThreadPoolExecutor(1, "leave") as executor:
        leave_future = executor.submit(application.leave, stop_now)
        while not leave_future.done():
            if (
                signal.sigtimedwait(TERMINATION_SIGNALS, POLL_INTERVAL_SECONDS)
                is not None
            ):
                stop_now.set()
    leave_future.result()
