"""Event loop for datagrams, timers and calls from other threads, on one thread."""

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
# Holds half a second of packets of the busiest link while the process starts or is
# stalled; the kernel may allow less.
RECEIVE_BUFFER_BYTES = 1 << 20
# Datagrams read from one socket before the next socket is read.
MAX_BATCH_DATAGRAMS = 64
# The same for a socket that is read last, directly before the timers check deadlines:
# one packet of an unknown flow may cause a reply from each of 60 agents.
MAX_LAST_BATCH_DATAGRAMS = 512
MAX_WAIT_SECONDS = 1.0
# Timers run no more often than this while packets arrive: a check of all timers takes
# half of a packet's processor time. It is an eighth of the shortest timer delay.
MIN_TIMER_INTERVAL_SECONDS = 0.005

ResultT = TypeVar("ResultT")
DatagramHandler: TypeAlias = "Callable[[bytes, tuple[str, int], float], None]"


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Binds a non-blocking UDP socket.

    Args:
        host: Local IP address.
        port: Port; 0 selects a free port.

    Returns:
        The socket.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    udp_socket.bind((host, port))
    udp_socket.setblocking(False)
    return udp_socket


class EventLoop:
    """Runs handlers one at a time, so that they need no locks."""

    def __init__(self, *, clock: Clock, log: EventLog) -> None:
        """Initializes the loop without sockets.

        Args:
            clock: Clock of the process.
            log: Log of failed handlers.
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
        self._precise_timers: list[Callable[[float], float]] = []
        self._timers_ran_at = float("-inf")
        self._timers_due_at = float("-inf")
        self._has_handled_events = False
        self._handlers_read_last: list[tuple[socket.socket, DatagramHandler]] = []
        self._sockets_read_last: set[Any] = set()

    def add_socket(
        self,
        udp_socket: socket.socket,
        handle: DatagramHandler,
        *,
        read_last: bool = False,
    ) -> None:
        """Passes the datagrams of a socket to a handler.

        Args:
            udp_socket: Socket of `open_datagram_socket`; the caller closes it.
            handle: Called with the datagram, its source and the time.
            read_last: Whether it is read last in each iteration, so that timers run
                after the received datagrams are handled. Otherwise an overloaded
                process would time out on replies that it has not read yet and repeat
                its queries.
        """
        if read_last:
            self._handlers_read_last.append((udp_socket, handle))
            self._sockets_read_last.add(udp_socket)
        self._selector.register(udp_socket, selectors.EVENT_READ, handle)

    def add_timer(self, step: Callable[[float], float]) -> None:
        """Registers a timer, run when it is due and soon after events are handled.

        Args:
            step: Called with the time; returns the time at which it is due next.
        """
        self._timers.append(step)

    def add_precise_timer(self, step: Callable[[float], float]) -> None:
        """Registers a cheap timer, run in each iteration and when it is due.

        It is not subject to `MIN_TIMER_INTERVAL_SECONDS`. The selector rounds a wait up
        to whole milliseconds.

        Args:
            step: Called with the time; returns the time at which it is due next.
        """
        self._precise_timers.append(step)

    def remove_precise_timer(self, step: Callable[[float], float]) -> None:
        """Removes a timer of `add_precise_timer`.

        Args:
            step: The timer.
        """
        # A new list, since a timer may remove itself.
        self._precise_timers = [kept for kept in self._precise_timers if kept != step]

    def call(self, function: Callable[[], ResultT]) -> Future[ResultT]:
        """Schedules a function on the loop's thread; thread-safe.

        Args:
            function: The function.

        Returns:
            Future of its result.
        """
        future: Future[ResultT] = Future()
        self._calls.append((future, function))
        # If the socket's buffer is full, wake-ups are pending and the loop will run the
        # call.
        with contextlib.suppress(BlockingIOError):
            self._wake_sender.send(b"\0")
        return future

    def run_until(self, stopping: threading.Event) -> None:
        """Runs until the event is set; a later `call` interrupts the wait.

        Args:
            stopping: Ends the loop when set.
        """
        while not stopping.is_set():
            self.run_once()

    def run_once(self) -> None:
        """Runs due timers, waits for the next event and handles pending events."""
        due_at = self._run_timers()
        now = self._clock()
        for step in self._precise_timers:
            due_at = min(due_at, self._run_timer(step, now))
        wait = min(max(due_at - now, 0.0), MAX_WAIT_SECONDS)
        ready = [key for key, _ in self._selector.select(wait)]
        self._has_handled_events = self._has_handled_events or bool(ready)
        for key in ready:
            if key.data is None:
                self._run_calls()
            elif key.fileobj not in self._sockets_read_last:
                self._receive(key.fileobj, key.data, MAX_BATCH_DATAGRAMS)
        if ready:
            for udp_socket, handle in self._handlers_read_last:
                self._receive(udp_socket, handle, MAX_LAST_BATCH_DATAGRAMS)

    def close(self) -> None:
        """Closes the resources of the loop."""
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def _run_timers(self) -> float:
        """Runs the timers unless they ran just now; returns when to run them again."""
        now = self._clock()
        earliest_at = self._timers_ran_at + MIN_TIMER_INTERVAL_SECONDS
        # Events handled since the last run may have made a timer due earlier.
        due_at = (
            earliest_at
            if self._has_handled_events
            else max(self._timers_due_at, earliest_at)
        )
        if now < due_at:
            return due_at
        self._has_handled_events = False
        self._timers_ran_at = now
        due_times = [self._run_timer(step, now) for step in self._timers]
        self._timers_due_at = min(due_times, default=now + MAX_WAIT_SECONDS)
        return max(self._timers_due_at, now + MIN_TIMER_INTERVAL_SECONDS)

    def _run_timer(self, step: Callable[[float], float], now: float) -> float:
        try:
            return step(now)
        except Exception as error:
            # One failed timer must not end the data path of the process.
            self._log.fact("timer failed", error=repr(error))
            return now + MAX_WAIT_SECONDS

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
        udp_socket: Any,
        handle: DatagramHandler,
        count: int,
    ) -> None:
        for _ in range(count):
            try:
                datagram, source = udp_socket.recvfrom(MAX_DATAGRAM_SIZE)
            except OSError:
                # No datagram is left, or an earlier datagram was sent to a closed port;
                # the socket remains usable in both cases.
                return
            try:
                handle(datagram, source, self._clock())
            except Exception as error:
                # One bad datagram must not end the data path of the process.
                self._log.fact("handler failed", error=repr(error))
