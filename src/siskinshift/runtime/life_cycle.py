"""Life cycle of a process: who owns its threads and clean-up."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import TYPE_CHECKING
from typing import Any

from siskinshift.observability.logs import PartLog


if TYPE_CHECKING:
    from collections.abc import Callable


THREADS_MAXIMUM = 4096


class LifeCycle:
    """Base of the processes; hooks run in the order start, stopping, stop.

    Attributes:
        stopping: Set once the application is to end.
        is_aborted: Whether it ends without a word, as a process does that dies.
    """

    def __init__(self, *, name: str) -> None:
        """Prepares without any task.

        Args:
            name: Name of the process, for its threads.
        """
        self.stopping = threading.Event()
        self.is_aborted = False
        self._clean_ups = ExitStack()
        self._log = PartLog("runtime")
        self.executor = ThreadPoolExecutor(
            max_workers=THREADS_MAXIMUM, thread_name_prefix=name
        )

    def start(self) -> None:
        """Starts the application; on an error all that was opened is closed."""
        try:
            self.on_start()
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stops at once: ends loops, closes what is owned, joins the threads."""
        self.stopping.set()
        self.on_stop()
        self._clean_ups.close()
        self.executor.shutdown(wait=True)

    def abort(self) -> None:
        """Stops without a word to anyone; failure tests and the demo call it."""
        self.is_aborted = True
        self.stop()

    def leave(self, at_once: threading.Event) -> None:
        """Hook: leaves in the planned way; returns when nothing would be cut.

        Args:
            at_once: Ends the wait when set; `stop` follows either way.
        """

    def add_cleanup(self, clean_up: Callable[[], object]) -> None:
        """Registers a clean-up; the last one registered runs first.

        Args:
            clean_up: Called once when the application stops.
        """
        self._clean_ups.callback(clean_up)

    def spawn(self, task: Callable[..., object], *args: object) -> Future[Any]:
        """Runs a task on a thread of the application.

        Args:
            task: The task; it returns soon after `stopping` is set.
            args: Its arguments.

        Returns:
            The future of the task.
        """
        future = self.executor.submit(task, *args)
        future.add_done_callback(self._report)
        return future

    def run_every(self, interval: float, step: Callable[[], object]) -> None:
        """Runs a step again and again until the application stops.

        Args:
            interval: Pause between two steps, seconds.
            step: The step.
        """

        def loop() -> None:
            while not self.stopping.wait(interval):
                try:
                    step()
                except Exception as error:
                    # Guards against a fault in one step that ends all later ones: a
                    # process without its ticks looks alive and does nothing.
                    self._log.repeated("step", "A step failed.", error=repr(error))

        self.spawn(loop)

    def _report(self, future: Future[Any]) -> None:
        if not future.cancelled() and (error := future.exception()) is not None:
            self.on_task_failed(error)

    def on_task_failed(self, error: BaseException) -> None:
        """Hook: tells that a task ended with an error, where the process logs.

        Args:
            error: The error.
        """
        self._log.repeated("task", "A task failed.", error=repr(error))

    def on_start(self) -> None:
        """Hook: opens sockets and starts tasks."""

    def on_stop(self) -> None:
        """Hook: says good-bye before clean-up."""
