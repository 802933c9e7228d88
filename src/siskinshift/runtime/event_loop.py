"""One thread that owns decisions: datagrams, timers and calls from other threads."""

from __future__ import annotations

import contextlib
import selectors
import socket
from collections import deque
from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias
from typing import TypeVar


if TYPE_CHECKING:
    import threading
    from collections.abc import Callable

    from siskinshift.core.clocks import Clock
    from siskinshift.observability.event_log import EventLog


MAX_DATAGRAM_SIZE = 65535
# Room for half a second of the busiest link's packets while the process starts or
# stands still; the kernel may allow less.
RECEIVE_BUFFER_BYTES = 1 << 20
# Datagrams of one socket taken before the others get their turn.
BATCH_DATAGRAMS = 64
# The same for a socket that is read last, just before timers look for what is overdue:
# one packet of an unknown flow may be followed by an answer of each of 60 agents.
LAST_BATCH_DATAGRAMS = 512
WAIT_MAXIMUM_SECONDS = 1.0
# Timers run this seldom while packets come: a look at all that may be due took half of
# a packet's processor time. An eighth of the shortest time that any of them waits for.
TIMER_PAUSE_SECONDS = 0.005

ResultT = TypeVar("ResultT")
DatagramHandler: TypeAlias = "Callable[[bytes, tuple[str, int], float], None]"


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Binds a UDP socket that never blocks.

    Args:
        host: Own IP number.
        port: Port; 0 takes a free one.

    Returns:
        The socket.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    opened.bind((host, port))
    opened.setblocking(False)
    return opened


class EventLoop:
    """Runs handlers one after the other, so that they need no locks."""

    def __init__(self, *, clock: Clock, log: EventLog) -> None:
        """Prepares without any socket.

        Args:
            clock: Clock of the process.
            log: Takes a line for a handler that failed.
        """
        self._clock = clock
        self._log = log
        self._selector = selectors.DefaultSelector()
        self._calls: deque[tuple[Future[Any], Callable[[], Any]]] = deque()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ, None)
        self._timers: list[Callable[[float], float]] = []
        self._timers_ran_at = float("-inf")
        self._timers_due = float("-inf")
        self._has_handled = False
        self._last_sockets: list[tuple[socket.socket, DatagramHandler]] = []
        self._read_last: set[Any] = set()

    def add_socket(
        self,
        opened: socket.socket,
        handle: DatagramHandler,
        *,
        read_last: bool = False,
    ) -> None:
        """Hands a socket's datagrams to a handler.

        Args:
            opened: A socket of `open_datagram_socket`; the caller closes it.
            handle: Takes the datagram, its source and the time.
            read_last: Whether it is read last in each turn, so that timers see all that
                has come. Guards against an overloaded process that takes answers
                which it has not read yet for missing and asks again.
        """
        if read_last:
            self._last_sockets.append((opened, handle))
            self._read_last.add(opened)
        self._selector.register(opened, selectors.EVENT_READ, handle)

    def add_timer(self, step: Callable[[float], float]) -> None:
        """Calls a step soon after something was handled, or when it is due.

        Args:
            step: Takes the time, does what is due, returns when it is due next.
        """
        self._timers.append(step)

    def call(self, function: Callable[[], ResultT]) -> Future[ResultT]:
        """Runs a function on the loop's thread; other threads call this.

        Args:
            function: The function.

        Returns:
            Its result.
        """
        future: Future[ResultT] = Future()
        self._calls.append((future, function))
        # A full pipe: wake-ups wait already, so the loop will see the call.
        with contextlib.suppress(BlockingIOError):
            self._wake_sender.send(b"\0")
        return future

    def run_until(self, stopping: threading.Event) -> None:
        """Runs until told to stop; `call` after setting the event ends a wait.

        Args:
            stopping: Ends the loop when set.
        """
        while not stopping.is_set():
            self.run_once()

    def run_once(self) -> None:
        """Runs due timers, waits for the next event and handles what has come."""
        wait = min(max(self._run_timers() - self._clock(), 0.0), WAIT_MAXIMUM_SECONDS)
        ready = [key for key, _ in self._selector.select(wait)]
        self._has_handled = self._has_handled or bool(ready)
        for key in ready:
            if key.data is None:
                self._run_calls()
            elif key.fileobj not in self._read_last:
                self._receive(key.fileobj, key.data, BATCH_DATAGRAMS)
        if ready:
            for opened, handle in self._last_sockets:
                self._receive(opened, handle, LAST_BATCH_DATAGRAMS)

    def close(self) -> None:
        """Closes what the loop opened."""
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def _run_timers(self) -> float:
        """Runs the timers unless they ran just now; returns when to look again."""
        now = self._clock()
        rested_at = self._timers_ran_at + TIMER_PAUSE_SECONDS
        # What was handled since may have made something due earlier.
        due = rested_at if self._has_handled else max(self._timers_due, rested_at)
        if now < due:
            return due
        self._has_handled = False
        self._timers_ran_at = now
        steps = [self._run_timer(step, now) for step in self._timers]
        self._timers_due = min(steps, default=now + WAIT_MAXIMUM_SECONDS)
        return max(self._timers_due, now + TIMER_PAUSE_SECONDS)

    def _run_timer(self, step: Callable[[float], float], now: float) -> float:
        try:
            return step(now)
        except Exception as error:
            # Guards against one failed step that ends the process's data path.
            self._log.fact("timer failed", error=repr(error))
            return now + WAIT_MAXIMUM_SECONDS

    def _run_calls(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_receiver.recv(MAX_DATAGRAM_SIZE)
        while self._calls:
            future, function = self._calls.popleft()
            try:
                future.set_result(function())
            except Exception as error:
                self._log.fact("call failed", error=repr(error))
                future.set_exception(error)

    def _receive(
        self,
        opened: Any,
        handle: DatagramHandler,
        count: int,
    ) -> None:
        for _ in range(count):
            try:
                datagram, source = opened.recvfrom(MAX_DATAGRAM_SIZE)
            except OSError:
                # Nothing left, or the error of an earlier datagram that met no
                # listener; the socket is good either way.
                return
            try:
                handle(datagram, source, self._clock())
            except Exception as error:
                # Guards against one datagram that ends the process's data path.
                self._log.fact("handler failed", error=repr(error))
