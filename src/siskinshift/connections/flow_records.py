"""What a balancer remembers of flows: a bounded cache, forgotten by age."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define

from siskinshift.connections.fleet import Peer
from siskinshift.connections.owner_lookup import OwnerLookup
from siskinshift.connections.peer_messages import NO_TERMS
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.request_queue import Terms


if TYPE_CHECKING:
    from collections.abc import Iterator


# A record is dropped when its flow was silent for one to two of these.
GENERATION_SECONDS = 60.0
# Flows of a balancer at which it forgets the older half early, so that memory
# stays bounded.
RECORDS_MAXIMUM = 50_000


@define(eq=False)
class Attempt:
    """An agent that was asked to take a flow.

    Attributes:
        agent: The agent.
        verdict: Its word; None before it came.
    """

    agent: Peer
    verdict: Verdict | None = None


@define(eq=False)
class FlowRecord:
    """What a balancer remembers of a flow.

    Attributes:
        flow: The flow.
        service_id: Service that was drawn for it; empty when it was not seen to open.
        service_ids: Services that may hold it by the configuration.
        owner: The agent whose upstream holds it, once known.
        is_refuted: Whether an agent that was taken for the owner was not.
        opening: The opening packet, until the flow is open.
        opened_at: When that came, seconds.
        attempts: Agents asked to take it.
        terms: What callers on its route want.
        search: The search for its owner, if there is one.
        acknowledged: What the caller acknowledged last.
        owned_header: What goes before each packet for the owner, once it was worked
            out: most packets of a balancer are of open flows.
    """

    flow: bytes
    service_id: str = ""
    owner: Peer | None = None
    is_refuted: bool = False
    opening: bytes = b""
    opened_at: float = 0.0
    attempts: list[Attempt] = Factory(list)
    terms: Terms = NO_TERMS
    search: OwnerLookup | None = None
    acknowledged: int = 0
    owned_header: bytes = b""
    service_ids: tuple[str, ...] = ()

    @property
    def only_acceptance(self) -> Peer | None:
        """The agent that took it, if no other one was asked.

        Another balancer may have asked others as well: the one that was taken for the
        owner says so, and counts no more then.
        """
        if self.is_refuted:
            return None
        if len(self.attempts) == 1 and self.attempts[0].verdict is Verdict.ACCEPTED:
            return self.attempts[0].agent
        return None

    def attempt_with(self, agent: Peer) -> Attempt | None:
        """Finds the attempt with an agent."""
        for attempt in self.attempts:
            if attempt.agent is agent:
                return attempt
        return None


class FlowRecords:
    """Records by flow in two generations.

    The old generation is dropped when the young one takes its place; a record that is
    found moves to the young one.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._young: dict[bytes, FlowRecord] = {}
        self._old: dict[bytes, FlowRecord] = {}
        self._generation_at = 0.0

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def __iter__(self) -> Iterator[FlowRecord]:
        yield from self._young.values()
        yield from self._old.values()

    @property
    def due(self) -> float:
        """When `forget_silent` is needed next: clock reading, seconds."""
        return self._generation_at + GENERATION_SECONDS

    def find(self, flow: bytes) -> FlowRecord | None:
        """Finds a flow's record, which counts as used now.

        Args:
            flow: The flow.

        Returns:
            The record; None if the flow is not known.
        """
        record = self._young.get(flow)
        if record is not None:
            return record
        record = self._old.pop(flow, None)
        if record is not None:
            self._young[flow] = record
        return record

    def add(self, record: FlowRecord) -> FlowRecord:
        """Adds a record in place of any other of its flow.

        Args:
            record: The record.

        Returns:
            The same.
        """
        if len(self._young) >= RECORDS_MAXIMUM // 2:
            self._old = self._young
            self._young = {}
        self._old.pop(record.flow, None)
        self._young[record.flow] = record
        return record

    def drop(self, flow: bytes) -> None:
        """Forgets a flow.

        Args:
            flow: The flow.
        """
        self._young.pop(flow, None)
        self._old.pop(flow, None)

    def forget_silent(self, *, now: float) -> None:
        """Drops the old generation if its time has come.

        Args:
            now: Clock reading, seconds.
        """
        if now - self._generation_at <= GENERATION_SECONDS:
            return
        self._generation_at = now
        self._old = self._young
        self._young = {}
