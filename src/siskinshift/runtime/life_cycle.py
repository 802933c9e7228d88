"""Life cycle of a process: owns its threads and cleanup callbacks."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import TYPE_CHECKING
from typing import Any

from siskinshift.observability.logs import ComponentLog


if TYPE_CHECKING:
    from collections.abc import Callable


MAX_THREADS = 4096


class LifeCycle:
    """Base class of processes; hooks run in the order on_start, leave, on_stop.

    Attributes:
        stopping: Set when the application must stop.
        is_aborted: Whether it stops without notifying peers, as in a crash.
        executor: Runs the tasks of the application, each on a thread.
    """

    def __init__(self, *, name: str) -> None:
        """Initializes the life cycle without tasks.

        Args:
            name: Name of the process, the prefix of its thread names.
        """
        self.stopping = threading.Event()
        self.is_aborted = False
        self._cleanups = ExitStack()
        self._log = ComponentLog("runtime")
        self.executor = ThreadPoolExecutor(
            max_workers=MAX_THREADS, thread_name_prefix=name
        )

    def start(self) -> None:
        """Starts the application; on an error, closes all resources opened so far."""
        try:
            self.on_start()
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stops now: ends the loops, runs the cleanup callbacks, joins the threads."""
        self.stopping.set()
        self.on_stop()
        self._cleanups.close()
        self.executor.shutdown(wait=True)

    def abort(self) -> None:
        """Stops without notifying peers; used by failure tests and the demo."""
        self.is_aborted = True
        self.stop()

    def leave(self, stop_now: threading.Event) -> None:
        """Hook: leaves gracefully; returns when stopping interrupts no work.

        Args:
            stop_now: Ends the wait when set; `stop` follows in both cases.
        """

    def add_cleanup(self, cleanup: Callable[[], object]) -> None:
        """Registers a cleanup callback; the last one registered runs first.

        Args:
            cleanup: Called once when the application stops.
        """
        self._cleanups.callback(cleanup)

    def spawn(self, task: Callable[..., object], *args: object) -> Future[Any]:
        """Runs a task on a thread of the application.

        Args:
            task: The task; must return soon after `stopping` is set.
            args: Its arguments.

        Returns:
            Future of the task.
        """
        future = self.executor.submit(task, *args)
        future.add_done_callback(self._report_failure)
        return future

    def run_every(self, interval: float, step: Callable[[], object]) -> None:
        """Runs a function periodically until the application stops.

        Args:
            interval: Pause between two runs, seconds.
            step: The function.
        """

        def loop() -> None:
            while not self.stopping.wait(interval):
                try:
                    step()
                except Exception as error:
                    # An error in one run must not prevent later runs: a process
                    # without its ticks seems alive but does nothing.
                    self._log.repeated("step", "A step failed.", error=repr(error))

        self.spawn(loop)

    def _report_failure(self, future: Future[Any]) -> None:
        if not future.cancelled() and (error := future.exception()) is not None:
            self.on_task_failed(error)

    def on_task_failed(self, error: BaseException) -> None:
        """Hook: logs that a task ended with an error.

        Args:
            error: The error.
        """
        self._log.repeated("task", "A task failed.", error=repr(error))

    def on_start(self) -> None:
        """Hook: opens sockets and starts tasks."""

    def on_stop(self) -> None:
        """Hook: notifies peers before cleanup."""
