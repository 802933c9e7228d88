"""Simulates the network between membership participants on an injected clock.

Each call arrives after a random delay or is lost, and its sender receives the reply or
a failure. The participants run the production code.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

from attrs import define
from attrs import field

from siskinshift.membership.participant import Participant


if TYPE_CHECKING:
    import random

    from siskinshift.membership.actions import Call
    from siskinshift.membership.actions import Message
    from siskinshift.membership.actions import Reply
    from siskinshift.messages.core import Endpoint


# One-way delays within a region and between regions.
INTRA_REGION_DELAY_SECONDS = 0.0005
INTER_REGION_DELAY_SECONDS = 0.015
# Longest time before a busy instance processes a message.
MAX_PROCESSING_DELAY_SECONDS = 0.002
MAX_DUPLICATE_DELAY_SECONDS = 3.0
MIN_WAKE_INTERVAL_SECONDS = 0.001

Callback: TypeAlias = Callable[[], None]
SizeOf: TypeAlias = Callable[["Message | Reply"], int]


@define(eq=False)
class SimulatedProcess:
    """A process on the simulated network.

    Attributes:
        participant: Membership state of the process.
        region: Region of the process.
        failure_domain: Failure domain of the process.
        is_up: False once it has been killed.
        stopped_until: End of its pause, clock of the queue in seconds.
        sent: Number of calls sent, by message type.
        received: Number of calls received, by message type.
        wire_bytes: Bytes of messages and replies, sent and received.
        wake_at: Next time at which its due calls are sent.
    """

    participant: Participant
    region: str
    failure_domain: str
    is_up: bool = True
    stopped_until: float = 0.0
    sent: Counter[str] = field(factory=Counter)
    received: Counter[str] = field(factory=Counter)
    wire_bytes: int = 0
    wake_at: float = float("inf")

    @property
    def endpoint(self) -> Endpoint:
        """Control endpoint of the process."""
        return self.participant.own.control

    @property
    def domain(self) -> str:
        """Region and failure domain."""
        return f"{self.region}/{self.failure_domain}"


class MessageQueue:
    """Delivers calls, replies and failures in the order of an injected clock.

    Attributes:
        now: Clock of the queue, seconds.
        loss: Fraction of lost messages, calls and replies alike.
        disorder: Fraction of calls that are delivered a second time, up to
            MAX_DUPLICATE_DELAY_SECONDS later.
        processes_by_endpoint: Processes that were added and not replaced.
        cut: Names of regions and failure domains that are partitioned from the rest.
    """

    def __init__(
        self,
        *,
        random: random.Random,
        timeout: float,
        size_of: SizeOf | None = None,
    ) -> None:
        """Initializes an empty queue.

        Args:
            random: Random generator for delays and losses.
            timeout: Seconds after which a call without a reply fails.
            size_of: Returns the wire size of a message or reply in bytes; None disables
                the byte counts.
        """
        self.now = 0.0
        self.loss = 0.0
        self.disorder = 0.0
        self.processes_by_endpoint: dict[Endpoint, SimulatedProcess] = {}
        self.cut: set[str] = set()
        self._random = random
        self._timeout = timeout
        self._size_of = size_of
        self._events: list[tuple[float, int, Callback]] = []
        self._sequence_number = 0

    def add(self, process: SimulatedProcess) -> None:
        """Starts a process, which replaces one at the same endpoint.

        Args:
            process: The process.
        """
        replaced = self.processes_by_endpoint.get(process.endpoint)
        if replaced is not None:
            replaced.is_up = False
        self.processes_by_endpoint[process.endpoint] = process
        self._wake_at(process, self.now)

    def kill(self, process: SimulatedProcess) -> None:
        """Stops a process without notice to its peers.

        Args:
            process: The process.
        """
        process.is_up = False

    def wake(self, process: SimulatedProcess) -> None:
        """Schedules a process immediately, after an external change to its state.

        Args:
            process: The process.
        """
        self._wake_at(process, self.now)

    def run_until(self, until: float) -> None:
        """Advances the clock and delivers what is due.

        Args:
            until: Clock of the queue, seconds.
        """
        events = self._events
        while events and events[0][0] <= until:
            self.now, _, callback = heapq.heappop(events)
            callback()
        self.now = until

    def _schedule(self, time: float, callback: Callback) -> None:
        self._sequence_number += 1
        heapq.heappush(self._events, (time, self._sequence_number, callback))

    def _wake_at(self, process: SimulatedProcess, time: float) -> None:
        time = max(time, self.now, process.stopped_until)
        if (
            time >= process.wake_at - MIN_WAKE_INTERVAL_SECONDS
            and process.wake_at >= self.now
        ):
            return
        process.wake_at = time
        self._schedule(time, lambda: self._run_due(process, time))

    def _run_due(self, process: SimulatedProcess, time: float) -> None:
        if not process.is_up or process.wake_at != time:
            return
        process.wake_at = float("inf")
        if self.now < process.stopped_until:
            self._wake_at(process, process.stopped_until)
            return
        for call in process.participant.due(self.now):
            self._send(process, call)
        self._schedule_wake(process)

    def _schedule_wake(self, process: SimulatedProcess) -> None:
        due_at = process.participant.next_due()
        if due_at != float("inf"):
            self._wake_at(process, max(due_at, self.now + MIN_WAKE_INTERVAL_SECONDS))

    def _send(self, sender: SimulatedProcess, call: Call) -> None:
        sender.sent[type(call.message).__name__] += 1
        size = self._count_bytes(sender, call.message)
        receiver = self.processes_by_endpoint.get(call.endpoint)
        is_delivered = receiver is not None and self._is_delivered(sender, receiver)
        if receiver is None or not is_delivered:
            self._fail_later(sender, call, self._timeout)
            return
        delay = self._delay(sender, receiver)
        self._schedule(
            self.now + delay,
            lambda: self._deliver(sender, receiver, call, size, self._timeout - delay),
        )
        if self.disorder and self._random.random() < self.disorder:
            duplicate_delay = delay + self._random.uniform(
                0, MAX_DUPLICATE_DELAY_SECONDS
            )
            self._schedule(
                self.now + duplicate_delay,
                lambda: self._deliver_duplicate(receiver, call),
            )

    def _deliver(
        self,
        sender: SimulatedProcess,
        receiver: SimulatedProcess,
        call: Call,
        size: int,
        remaining_timeout: float,
    ) -> None:
        if not receiver.is_up or self.now < receiver.stopped_until:
            self._fail_later(sender, call, remaining_timeout)
            return
        receiver.received[type(call.message).__name__] += 1
        receiver.wire_bytes += size
        reply = receiver.participant.handle(call.message, now=self.now)
        self._schedule_wake(receiver)
        size = self._count_bytes(receiver, reply)
        if not self._is_delivered(receiver, sender):
            self._fail_later(sender, call, remaining_timeout)
            return
        delay = self._delay(receiver, sender)
        self._schedule(
            self.now + delay, lambda: self._deliver_reply(sender, call, reply, size)
        )

    def _deliver_duplicate(self, receiver: SimulatedProcess, call: Call) -> None:
        if receiver.is_up and self.now >= receiver.stopped_until:
            receiver.participant.handle(call.message, now=self.now)
            self._schedule_wake(receiver)

    def _deliver_reply(
        self, sender: SimulatedProcess, call: Call, reply: Reply, size: int
    ) -> None:
        if not sender.is_up:
            return
        sender.wire_bytes += size
        next_calls = sender.participant.on_reply(call, reply, now=self.now)
        for next_call in next_calls:
            self._send(sender, next_call)
        self._schedule_wake(sender)

    def _fail_later(self, sender: SimulatedProcess, call: Call, delay: float) -> None:
        self._schedule(self.now + max(0.0, delay), lambda: self._fail(sender, call))

    def _fail(self, sender: SimulatedProcess, call: Call) -> None:
        if not sender.is_up:
            return
        sender.participant.on_failure(call, now=self.now)
        self._schedule_wake(sender)

    def _is_delivered(
        self, sender: SimulatedProcess, receiver: SimulatedProcess
    ) -> bool:
        for location in self.cut:
            if _is_in(sender, location) != _is_in(receiver, location):
                return False
        return not self.loss or self._random.random() >= self.loss

    def _delay(self, sender: SimulatedProcess, receiver: SimulatedProcess) -> float:
        base = (
            INTRA_REGION_DELAY_SECONDS
            if sender.region == receiver.region
            else INTER_REGION_DELAY_SECONDS
        )
        return base + self._random.random() * MAX_PROCESSING_DELAY_SECONDS

    def _count_bytes(self, process: SimulatedProcess, message: Any) -> int:
        if self._size_of is None:
            return 0
        size = self._size_of(message)
        process.wire_bytes += size
        return size


def _is_in(process: SimulatedProcess, location: str) -> bool:
    return location in (process.region, process.domain)
