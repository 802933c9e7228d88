"""Which request an upstream gets next, and which wait beside it.

Pattern: all callers come back at once after a fault, to upstreams that are still cold;
or a burst meets upstreams of one to three slots. An upstream queues a few requests in
order of arrival and refuses the rest; callers use up their tries within a second, and
while it works off requests that are late already, each new one becomes late as well.

So an agent hands over as many requests as there are slots, and one more so that no
slot stands idle, and lets the others wait here. A flow is one request at a time: the
caller sends data, the upstream answers with data. The next one is, in this order:

1. one that is late and has used up a part of its caller's patience, so that late work
   is still done;
2. one that can still meet its objective, more urgent routes first, in order of arrival;
3. one that is late already.

Late requests go in order of arrival. After an outage their callers have waited for
longer than is known here: seen from the queue a request may be milliseconds old and
near the end of its caller's patience.

What its caller has given up, or will before an answer can be there, is dropped: running
it would take a slot from the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import frozen


if TYPE_CHECKING:
    from collections.abc import Iterator


# Handed over beyond the slots: the upstream starts it while its answer is on the way.
EXTRA_REQUESTS = 1
# A request that has run this long no longer counts against the slots: its answer may
# have been lost with its upstream, and the slot must not stay taken for good. Work of
# the sites takes 0.6 s at most.
STUCK_SECONDS = 1.5
# Part of the time until the caller gives up after which a late request comes first: a
# late answer is worth having, but each one that goes first makes a new request late in
# its turn.
DUE_PART = 0.8
# Room that a request needs to meet its objective, in mean times of a request.
FRESH_ROOM = 2.0
# Weight of a new time in the mean: about the last twenty requests count.
MEAN_GAIN = 0.05
# Requests that wait at most; what comes beyond goes to the upstream, which refuses it.
WAITING_MAXIMUM = 400
# Used for flows whose balancer did not name a time; a long download's.
DEADLINE_SECONDS_DEFAULT = 3.0


@frozen
class RequestParameters:
    """What callers on a route want.

    Attributes:
        objective: Seconds within which they want an answer; 0 if not known.
        deadline: Seconds after which they give up; 0 if not known.
        urgency: 0 goes first.
    """

    objective: float = 0.0
    deadline: float = 0.0
    urgency: int = 0


@define(eq=False)
class WaitingRequest:
    """A request that is not handed over yet.

    Attributes:
        flow: Its flow.
        arrived_at: When it came, seconds.
        terms: What its caller wants.
        packets: Its packets by sequence number, in order of arrival.
    """

    flow: bytes
    arrived_at: float
    terms: RequestParameters
    packets: dict[int, bytes] = Factory(dict)

    @property
    def given_up_at(self) -> float:
        """When the caller stops to wait, seconds."""
        return self.arrived_at + (self.terms.deadline or DEADLINE_SECONDS_DEFAULT)


class RequestQueue:
    """Requests of one upstream.

    Attributes:
        slots: Requests that the upstream runs at once.
        mean_time: Mean time from hand-over to answer, seconds; 0 before the first.
    """

    def __init__(self) -> None:
        """Starts empty with one slot."""
        self.slots = 1
        self.mean_time = 0.0
        self._started_at_by_flow: dict[bytes, float] = {}
        self._waiting_by_flow: dict[bytes, WaitingRequest] = {}

    def __len__(self) -> int:
        """Counts requests that wait or run."""
        return len(self._waiting_by_flow) + len(self._started_at_by_flow)

    def __contains__(self, flow: bytes) -> bool:
        """Says whether a request of the flow waits."""
        return flow in self._waiting_by_flow

    def is_running(self, flow: bytes) -> bool:
        """Says whether a request of the flow was handed over and not answered.

        Args:
            flow: The flow.

        Returns:
            Whether it was.
        """
        return flow in self._started_at_by_flow

    def begin(
        self,
        flow: bytes,
        seq: int,
        packet: bytes,
        terms: RequestParameters,
        *,
        now: float,
    ) -> bool:
        """Takes the first packet of a request, or a further one of a waiting request.

        Args:
            flow: Its flow.
            seq: Sequence number of the packet.
            packet: The packet.
            terms: What its caller wants.
            now: Clock reading, seconds.

        Returns:
            Whether the packet goes to the upstream now; else it is kept here.
        """
        waiting = self._waiting_by_flow.get(flow)
        if waiting is not None:
            waiting.packets[seq] = packet
            return False
        has_room = self._has_room(now=now) and not self._waiting_by_flow
        if has_room or len(self._waiting_by_flow) >= WAITING_MAXIMUM:
            self._started_at_by_flow[flow] = now
            return True
        request = WaitingRequest(flow, now, terms)
        request.packets[seq] = packet
        self._waiting_by_flow[flow] = request
        return False

    def finished(self, flow: bytes, *, now: float) -> float | None:
        """Takes note that a request was answered or its flow ended.

        Args:
            flow: Its flow.
            now: Clock reading, seconds.

        Returns:
            Seconds since it was handed over; None if it was not.
        """
        self._waiting_by_flow.pop(flow, None)
        started_at = self._started_at_by_flow.pop(flow, None)
        if started_at is None:
            return None
        taken = now - started_at
        if not self.mean_time:
            self.mean_time = taken
        self.mean_time += MEAN_GAIN * (taken - self.mean_time)
        return taken

    def next_requests(self, *, now: float) -> Iterator[WaitingRequest]:
        """Hands over what there is room for.

        Args:
            now: Clock reading, seconds.

        Yields:
            Requests whose packets go to the upstream, in order.
        """
        while self._waiting_by_flow and self._has_room(now=now):
            request = min(
                self._waiting_by_flow.values(), key=lambda r: self._rank(r, now=now)
            )
            del self._waiting_by_flow[request.flow]
            if request.given_up_at <= now + self.mean_time:
                continue
            self._started_at_by_flow[request.flow] = now
            yield request

    def expire(self, *, now: float) -> int:
        """Drops requests that their callers have given up.

        Args:
            now: Clock reading, seconds.

        Returns:
            How many.
        """
        late = [f for f, r in self._waiting_by_flow.items() if r.given_up_at <= now]
        for flow in late:
            del self._waiting_by_flow[flow]
        return len(late)

    def clear(self) -> None:
        """Forgets all, since the upstream has ended."""
        self._waiting_by_flow.clear()
        self._started_at_by_flow.clear()

    def _has_room(self, *, now: float) -> bool:
        room = self.slots + EXTRA_REQUESTS
        if len(self._started_at_by_flow) < room:
            return True
        oldest = now - STUCK_SECONDS
        running = sum(at > oldest for at in self._started_at_by_flow.values())
        return running < room

    def _rank(self, request: WaitingRequest, *, now: float) -> tuple[int, int, float]:
        waited = now - request.arrived_at
        patience = request.given_up_at - request.arrived_at
        room = FRESH_ROOM * self.mean_time
        if waited + room <= request.terms.objective:
            return (1, request.terms.urgency, request.arrived_at)
        if waited >= DUE_PART * patience:
            return (0, request.terms.urgency, request.arrived_at)
        return (2, request.terms.urgency, request.arrived_at)
