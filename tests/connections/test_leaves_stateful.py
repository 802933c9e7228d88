"""Random leaves, restarts and faults of the store against a model of promises."""

from __future__ import annotations

from attrs import Factory
from attrs import define
from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from siskinshift.connections.flow_snapshot import UPLOAD_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import FlowSnapshot
from siskinshift.connections.flow_snapshot import FlowSnapshotStore
from siskinshift.connections.flow_snapshot import SnapshotUpdate
from siskinshift.connections.flow_snapshot import UploadResult
from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.leave_records import CHECK_INTERVAL_SECONDS
from siskinshift.connections.leave_records import LeaveRecords
from siskinshift.connections.snapshot_writer import SnapshotWriter
from siskinshift.connections.upstream_state import Heartbeat
from siskinshift.connections.upstream_state import UpstreamState
from siskinshift.messages.core import MemberState
from siskinshift.standins.platform_store import PlatformStoreState
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


HEARTBEAT_SECONDS = 0.5
MEMBER_ID = "agent-1"
# Any order of times from before to after a restart of the agent.
DELAYS = strategies.lists(
    strategies.sampled_from([0.2, 1.0, 2.5, 6.0]), min_size=1, max_size=4
)


@define
class _Upstream:
    incarnation: Incarnation
    sequence: int = 0
    is_leaving: bool = False
    sent: list[Heartbeat] = Factory(list)

    def next_heartbeat(self) -> Heartbeat:
        self.sequence += 1
        heartbeat = Heartbeat(
            self.incarnation, "editor", self.sequence, 1, self.is_leaving, 0.0
        )
        self.sent.append(heartbeat)
        return heartbeat


class _Agent:
    """One process of the agent, wired as in `AgentNode`."""

    def __init__(self, world: LeavesWalk) -> None:
        self._world = world
        store = InMemoryStore(lambda: world.now, state=world.state)
        self.upstream = UpstreamState(
            service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS
        )
        self.records = LeaveRecords(
            store=store, member_id=MEMBER_ID, clock=lambda: world.now, log=quiet_log()
        )
        self._snapshots = FlowSnapshotStore(
            store=store,
            member_id=MEMBER_ID,
            flows=self._collect,
            upload=self._upload,
            log=quiet_log(),
        )
        self.are_leaves_read = False
        self._is_snapshot_read = False
        self.upstream.on_reachable(now=world.now)

    def _collect(self) -> FlowSnapshot:
        packet = str(self._world.now).encode().rjust(8)
        return FlowSnapshot((packet[:8],), self.upstream.incarnation)

    def _upload(self, update: SnapshotUpdate) -> UploadResult:
        if not self._world.has_writer:
            return UploadResult(revision=update.revision)
        result = self._world.writer.submit(MEMBER_ID, update)
        self._world.writer.step()
        return result.result(0)

    def run(self) -> None:
        now = self._world.now
        if not self.are_leaves_read:
            leaves = self.records.load()
            if leaves is None:
                return
            self.are_leaves_read = True
            self.upstream.on_leaves_read(leaves, now=now)
        if not self._is_snapshot_read:
            self._is_snapshot_read = self._snapshots.load() is not None
        elif now % UPLOAD_INTERVAL_SECONDS < HEARTBEAT_SECONDS:
            self._snapshots.step(now=now)

    def handle(self, heartbeat: Heartbeat) -> bool:
        """Applies a heartbeat; returns whether it is acknowledged."""
        self.upstream.on_heartbeat(heartbeat, now=self._world.now)
        if not heartbeat.is_leaving:
            return True
        return self.records.record(heartbeat.incarnation, timeout=0.0)


class LeavesWalk(RuleBasedStateMachine):
    """An agent beside upstreams that leave, are replaced and repeat heartbeats."""

    @initialize()
    def begin(self) -> None:
        self.now = 100.0
        self.state = PlatformStoreState(lambda: self.now)
        self.has_writer = True
        self.starts = 0
        self.old_heartbeats: list[Heartbeat] = []
        self.acknowledged: set[Incarnation] = set()
        # Until the next check, an expired record is lost with the agent's process.
        self.expired_at = float("-inf")
        self.upstream = self._new_upstream(has_start=False)
        self.agent = _Agent(self)
        self.start_writer()
        self.run(2)

    def _new_upstream(self, *, has_start: bool) -> _Upstream:
        self.starts += 1
        started_ms = round(self.now * 1000) + self.starts if has_start else None
        return _Upstream(Incarnation(f"u-{self.starts}", started_ms))

    @rule()
    def start_writer(self) -> None:
        store = InMemoryStore(lambda: self.now, state=self.state)
        self.writer = SnapshotWriter(
            store=store, clock=lambda: self.now, log=quiet_log()
        )

    @rule(has_writer=strategies.booleans())
    def set_writer(self, has_writer: bool) -> None:
        self.has_writer = has_writer

    @rule(steps=strategies.integers(1, 8))
    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now += HEARTBEAT_SECONDS
            self.agent.run()
            self.send_heartbeat()

    @rule()
    def send_heartbeat(self) -> None:
        heartbeat = self.upstream.next_heartbeat()
        if self.agent.handle(heartbeat) and heartbeat.is_leaving:
            self.acknowledged.add(heartbeat.incarnation)
            if self.now >= self.expired_at + CHECK_INTERVAL_SECONDS:
                self.expired_at = float("-inf")

    @rule()
    def leave(self) -> None:
        self.upstream.is_leaving = True

    @rule()
    def kill_agent(self) -> None:
        self.agent = _Agent(self)

    @rule()
    def kill_and_read(self) -> None:
        self.agent = _Agent(self)
        self.agent.run()

    @rule(has_start=strategies.booleans())
    def replace_upstream(self, has_start: bool) -> None:
        self.old_heartbeats += self.upstream.sent
        self.upstream = self._new_upstream(has_start=has_start)

    @precondition(lambda self: self.agent.are_leaves_read)
    @rule(data=strategies.data())
    def deliver_delayed_heartbeat(self, data: strategies.DataObject) -> None:
        """A heartbeat of this upstream or of one that has ended arrives late."""
        candidates = (self.old_heartbeats + self.upstream.sent)[-12:]
        if candidates:
            self.agent.handle(data.draw(strategies.sampled_from(candidates)))

    @rule(delays=DELAYS)
    def delay_writes(self, delays: list[float]) -> None:
        self.state.faults.late_write_delays = delays

    @rule(count=strategies.integers(1, 4))
    def lose_responses(self, count: int) -> None:
        self.state.faults.lose_responses = count

    @rule(is_refusing=strategies.booleans())
    def refuse(self, is_refusing: bool) -> None:
        self.state.faults.rejection_status = 503 if is_refusing else 0

    @rule()
    def expire_leases(self) -> None:
        self.state.expire_all_leases()
        self.expired_at = self.now

    @invariant()
    def acknowledged_leaves_hold(self) -> None:
        if not hasattr(self, "agent") or self.expired_at > 0.0:
            return
        if self.upstream.incarnation in self.acknowledged:
            assert self.agent.upstream.state(now=self.now) is not MemberState.READY

    @rule()
    def recover(self) -> None:
        """A running upstream gets flows once the store responds again."""
        self.refuse(False)
        self.state.faults.late_write_delays = []
        self.state.faults.lose_responses = 0
        self.run(16)
        is_ready = self.agent.upstream.state(now=self.now) is MemberState.READY
        assert is_ready != self.upstream.is_leaving
        if self.upstream.is_leaving:
            assert self.upstream.incarnation in self.acknowledged


TestLeavesWalk = LeavesWalk.TestCase
TestLeavesWalk.settings = settings(max_examples=80, stateful_step_count=25)
