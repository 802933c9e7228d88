"""Writes the lists of long flows of many agents in one call.

Pattern of load: a hundred agents, each with a list that changes every second. Writes of
each of them outweigh all other calls of a calm fleet to the store. A balancer of the
agents' failure domain takes the lists by HTTP and writes up to 32 in one transaction,
under one lease. An agent that finds no writer, or gets no answer, writes its own.
"""

from __future__ import annotations

import threading
from concurrent.futures import Future
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.connections.flow_snapshot import RENEW_SECONDS
from siskinshift.connections.flow_snapshot import snapshot_key
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Put
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.connections.fleet import Peer
    from siskinshift.core.clocks import Clock
    from siskinshift.kv.port import KeyValueStore
    from siskinshift.observability.event_log import EventLog


# The name of an agent follows; its list is the body.
SNAPSHOT_PATH = "/flow-list/"
# The query of a list that the writer wrote before, and nobody since.
UNCHANGED_QUERY = "again"
# Lists that came within this are written together.
GATHER_SECONDS = 1.0
# Until a list that was handed over is written: the time of gathering, and a call to a
# slow store.
WRITE_TIMEOUT_SECONDS = 2.5
# Writes of one transaction; the platform's store takes no more.
LISTS_PER_CALL = 32
# Half of it is more than the pause after which an agent hands its list over again, and
# the other half more than an instance is away without power in an ordinary failure.
LEASE_SECONDS = 45.0
# Balancers of a failure domain for each writer: each agent keeps a connection, and with
# it a thread, at its writer.
BALANCERS_PER_WRITER = 8


def choose_writer(
    agent_key: int, balancers: Sequence[Peer], *, now: float
) -> Peer | None:
    """Chooses the balancer that keeps an agent's list.

    Args:
        agent_key: A hash of the agent's name.
        balancers: Balancers of its failure domain.
        now: Clock reading, seconds.

    Returns:
        One of a few, the same for all agents that know the same balancers.
    """
    able = [
        balancer
        for balancer in balancers
        if balancer.member.state is MemberState.READY
        and not balancer.is_unresponsive(now=now)
    ]
    if not able:
        return None
    able.sort(key=lambda balancer: balancer.key)
    writers = able[: max(1, len(able) // BALANCERS_PER_WRITER)]
    return writers[agent_key % len(writers)]


@frozen
class _Handed:
    """A list that waits to be written."""

    value: bytes
    is_unchanged: bool
    written: Future[bool]


class SnapshotWriter:
    """The lists that one balancer keeps in the store."""

    def __init__(self, *, store: KeyValueStore, clock: Clock, log: EventLog) -> None:
        """Keeps nothing yet.

        Args:
            store: The store.
            clock: Clock of the process.
            log: Takes a line when lists could not be written.
        """
        self._store = store
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._handed_by_member: dict[str, _Handed] = {}
        self._written_by_member: dict[str, bytes] = {}
        self._lease_id = 0
        self._granted_at = 0.0
        self._look_at = 0.0
        self._is_over = False

    def submit(
        self, member_id: str, value: bytes, *, is_unchanged: bool = False
    ) -> Future[bool]:
        """Takes an agent's list; called on any thread.

        Args:
            member_id: The agent.
            value: Its list.
            is_unchanged: Whether this writer wrote the same list and nobody has since.

        Returns:
            Whether it is written, once that is known.
        """
        known = _Handed(value, is_unchanged, Future())
        with self._lock:
            before = self._handed_by_member.pop(member_id, None)
            if not self._is_over:
                self._handed_by_member[member_id] = known
        if before is not None:
            before.written.set_result(False)
        if self._is_over and not known.written.done():
            known.written.set_result(False)
        return known.written

    def write_until(self, stopping: threading.Event) -> None:
        """Writes what was handed over until told to stop.

        Args:
            stopping: Ends the loop when set.
        """
        while not stopping.wait(GATHER_SECONDS):
            self.step()
        with self._lock:
            self._is_over = True
        self._answer(self._take_handed(), is_written=False)

    def step(self) -> None:
        """Writes what was handed over since the step before."""
        handed = self._take_handed()
        if not handed:
            return
        try:
            self._renew_lease()
            self._write(handed)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            # Their agents write them themselves.
            self._log.fact("flow lists not kept", lists=len(handed), error=str(error))
            self._lease_id = 0
        self._answer(handed, is_written=False)

    def _take_handed(self) -> dict[str, _Handed]:
        with self._lock:
            handed, self._handed_by_member = self._handed_by_member, {}
        return handed

    def _answer(self, handed: dict[str, _Handed], *, is_written: bool) -> None:
        for known in handed.values():
            if not known.written.done():
                known.written.set_result(is_written)

    def _renew_lease(self) -> None:
        """Begins a new lease now and then instead of prolonging one.

        Guards against lists of agents that are gone for good, which would stay for as
        long as this balancer lives: a list goes over to the new lease when its agent
        hands it over the next time, and lapses with the old one otherwise.
        """
        now = self._clock()
        is_old = now >= self._granted_at + LEASE_SECONDS / 2
        if self._lease_id and not is_old and now >= self._look_at:
            # It may have lapsed with the store away, and the lists with it.
            is_old = self._store.keep_alive(self._lease_id) <= 0
            self._look_at = now + RENEW_SECONDS
        if self._lease_id and not is_old:
            return
        self._lease_id = self._store.grant_lease(LEASE_SECONDS).lease_id
        self._granted_at = now
        self._look_at = now + RENEW_SECONDS
        self._written_by_member.clear()

    def _write(self, handed: dict[str, _Handed]) -> None:
        new = []
        for member_id, known in handed.items():
            is_same = self._written_by_member.get(member_id) == known.value
            if known.is_unchanged and is_same:
                known.written.set_result(True)
            else:
                new.append(member_id)
        for start in range(0, len(new), LISTS_PER_CALL):
            part = {name: handed[name] for name in new[start : start + LISTS_PER_CALL]}
            puts = tuple(
                Put(snapshot_key(name), known.value, self._lease_id)
                for name, known in part.items()
            )
            self._store.transact((), puts)
            self._written_by_member |= {n: known.value for n, known in part.items()}
            self._answer(part, is_written=True)
