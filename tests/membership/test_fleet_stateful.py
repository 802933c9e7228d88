"""Stateful fuzzing of membership against the actual state of all processes.

The oracle is the list of live processes and the states that they announce. Whatever
the order of deaths, restarts, partitions, pauses, lost, late and repeated messages:
no process replaces a state by an older one, and without faults every view converges
to the oracle.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from siskinshift.membership.balancer import BalancerMembership
from siskinshift.messages.core import MemberState
from tests.membership.fleet import Fleet


BALANCERS = [
    f"b-{region}-{domain}-{index}"
    for region in ("north", "south")
    for domain in ("fd-1", "fd-2")
    for index in range(2)
]
AGENTS = [f"a-{index}" for index in range(6)]
PLACES = ("north", "south", "north/fd-1", "south/fd-2")
# Covers the longer timeouts of a partition, new watchers, the back-off to seeds and
# several comparisons in a row.
SETTLE_SECONDS = 40.0


class MembershipMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.highest: dict[tuple[int, str], tuple[int, int]] = {}
        self.revisions: dict[tuple[int, str], int] = {}

    @initialize(seed=st.integers(0, 1 << 16))
    def start(self, seed: int) -> None:
        self.fleet = Fleet(seed=seed)
        self.fleet.run(8.0)

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.5, 3.0, 9.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(member_id=st.sampled_from(BALANCERS + AGENTS))
    def restart(self, member_id: str) -> None:
        self.fleet.restart(member_id)

    @rule(member_id=st.sampled_from(AGENTS + BALANCERS[1::2]))
    def kill(self, member_id: str) -> None:
        self.fleet.kill(member_id)

    @rule(
        member_id=st.sampled_from(BALANCERS + AGENTS),
        seconds=st.sampled_from([1.0, 4.0, 15.0]),
    )
    def pause(self, member_id: str, seconds: float) -> None:
        process = self.fleet.processes_by_id[member_id]
        process.stopped_until = self.fleet.queue.now + seconds

    @rule(
        member_id=st.sampled_from(AGENTS),
        state=st.sampled_from([MemberState.READY, MemberState.DRAINING]),
    )
    def change(self, member_id: str, state: MemberState) -> None:
        if self.fleet.processes_by_id[member_id].is_up:
            self.fleet.change(member_id, state, 500)

    @rule(index=st.integers(0, 7), service_id=st.sampled_from(["editor", "dossiers"]))
    def write_service(self, index: int, service_id: str) -> None:
        writers = self.fleet.live_balancers
        self.fleet.write_service(writers[index % len(writers)], service_id)

    @rule(place=st.sampled_from(PLACES))
    def cut(self, place: str) -> None:
        self.fleet.queue.cut.add(place)

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]), disorder=st.sampled_from([0.0, 0.3]))
    def spoil(self, loss: float, disorder: float) -> None:
        self.fleet.queue.loss = loss
        self.fleet.queue.disorder = disorder

    @precondition(lambda self: self.fleet.queue.cut)
    @rule()
    def heal(self) -> None:
        self.fleet.queue.cut.clear()

    @rule()
    def settle(self) -> None:
        queue = self.fleet.queue
        queue.cut.clear()
        queue.loss = 0.0
        queue.disorder = 0.0
        self.fleet.run(SETTLE_SECONDS)
        assert self.fleet.disagreements() == []

    @invariant()
    def no_state_goes_back(self) -> None:
        for viewer in self.fleet.live:
            table = viewer.participant.table
            for member_id, member in table.members_by_id.items():
                place = (id(viewer), member_id)
                stamp = (member.incarnation, member.version)
                assert stamp >= self.highest.get(place, stamp)
                self.highest[place] = stamp
            for service in table.services.services_by_id.values():
                place = (id(viewer), service.service_id)
                assert service.revision >= self.revisions.get(place, 0)
                self.revisions[place] = service.revision

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        self.settle()
        # Without network faults no live member is expelled at any later time.
        expelled = self._expelled()
        self.fleet.run(20.0)
        assert self._expelled() == expelled
        assert self.fleet.disagreements() == []

    def _expelled(self) -> int:
        return sum(
            one.participant.expelled_count
            for one in self.fleet.live
            if isinstance(one.participant, BalancerMembership)
        )


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(max_examples=15, stateful_step_count=25)
