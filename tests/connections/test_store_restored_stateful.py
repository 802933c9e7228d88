"""Random writes, restores, reads and restarts of nodes against a model."""

from __future__ import annotations

import threading
from random import Random
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from siskinshift.connections.configuration_follower import ConfigurationFollower
from siskinshift.connections.configuration_start import MAX_DELAY_SECONDS
from siskinshift.connections.configuration_start import ConfigurationStart
from siskinshift.connections.evacuation_reader import EvacuationReader
from siskinshift.connections.evacuations import HOLD_SECONDS
from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import encode_evacuations
from siskinshift.connections.evacuations import evacuations_from_document
from siskinshift.connections.fleet import Fleet
from siskinshift.connections.flow_snapshot import FlowSnapshot
from siskinshift.connections.flow_snapshot import FlowSnapshotStore
from siskinshift.connections.flow_snapshot import UploadResult
from siskinshift.connections.flow_snapshot import snapshot_key
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.registration import Registration
from siskinshift.connections.registration import member_key
from siskinshift.connections.registration import role_prefix
from siskinshift.control.documents import parse_object
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.messages.core import Role
from siskinshift.standins.platform_store import PlatformStoreState
from tests.connections.builders import member
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.configuration_follower import ReceivedConfiguration
    from siskinshift.connections.fleet import Peer
    from siskinshift.core.http import HttpResponse
    from siskinshift.runtime.http_client import HttpClient
    from siskinshift.standins.platform_store import Document


CONFIGURATION = "op/config"
EVACUATIONS = "op/evacuate/"
NODES = 3
STEP_SECONDS = 0.5
# A lost entry is noticed with a renewal, and put back within the randomized time.
BACK_SECONDS = 16.0


class _CheckedState(PlatformStoreState):
    """A store that fails the test if a node uses the lease of another."""

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock, era=1)
        self.acting = ""
        self.owners_by_lease_id: dict[int, str] = {}

    def handle(
        self, method: str, path: str, query: str, body: bytes
    ) -> tuple[int, Document]:
        if path.startswith(("/kv-keep/", "/kv-lease-end/")):
            lease_id = int(path.rsplit("/", 1)[1])
            owner = self.owners_by_lease_id.get(lease_id, self.acting)
            assert owner == self.acting, f"{self.acting} used the lease of {owner}"
        status, document = super().handle(method, path, query, body)
        if path == "/kv-lease":
            self.owners_by_lease_id[document["lease"]] = self.acting
        return status, document

    def restore(self, *, age: float, pause: float = 0.0) -> None:
        super().restore(age=age, pause=pause)
        for lease_id in tuple(self.owners_by_lease_id):
            if lease_id > self._last_lease_id:
                del self.owners_by_lease_id[lease_id]


class _Store(InMemoryStore):
    """A client whose watches end after a number of requests."""

    def __init__(self, world: RestoredStoreWalk, name: str) -> None:
        super().__init__(lambda: world.now, state=world.state)
        self._name = name
        self._checked_state = world.state
        self.polls = 0
        self.between: Callable[[], object] | None = None
        self.is_done = threading.Event()

    def exchange(
        self,
        client: HttpClient,
        method: str,
        target: str,
        body: bytes,
        *,
        timeout: float,
    ) -> HttpResponse:
        self._checked_state.acting = self._name
        if target.startswith("/kv-watch"):
            self.polls -= 1
            if self.polls <= 0:
                self.is_done.set()
            elif self.between is not None:
                between, self.between = self.between, None
                between()
        try:
            return super().exchange(client, method, target, body, timeout=timeout)
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            # The clock stands still while a node follows, so a retry would not end.
            self.is_done.set()
            raise

    def _admit(self) -> None:
        try:
            super()._admit()
        except StoreUnavailableError:
            self.is_done.set()
            raise


class _Node:
    def __init__(self, world: RestoredStoreWalk, number: int) -> None:
        self.world = world
        self.name = f"balancer-{number}"
        self.own = member(self.name, role=Role.BALANCER, host=f"10.0.0.{number + 2}")
        self.store = _Store(world, self.name)
        self.log = quiet_log()
        self.version = 0
        self.register = EvacuationRegister()
        self.due = 0.0
        self.reader = EvacuationReader(
            prefix=EVACUATIONS,
            decode_domain=lambda entry: entry.key.removeprefix(EVACUATIONS),
            on_evacuations=self.register.update,
            log=self.log,
        )
        self.registration = Registration(
            store=self.store,
            own=lambda: self.own,
            prefix=role_prefix(Role.BALANCER),
            has_unresponsive=lambda: False,
            on_members=lambda _: None,
            random=Random(number),
            log=self.log,
        )
        self.snapshots = FlowSnapshotStore(
            store=self.store,
            member_id=self.name,
            flows=lambda: FlowSnapshot((self.name.encode(),)),
            upload=lambda update: UploadResult(revision=update.revision),
            log=self.log,
        )

    def run(self) -> None:
        now = self.world.now
        if now >= self.due:
            self.due = now + self.registration.step(now=now)
        self.snapshots.step(now=now)
        self.register.settle(now=now)

    def follow(self, polls: int, between: Callable[[], object] | None = None) -> None:
        self.store.polls, self.store.between = polls, between
        self.store.is_done.clear()
        follower = ConfigurationFollower(
            store=self.store,
            prefix="op/",
            key=CONFIGURATION,
            evacuations=self.reader,
            on_configuration=self._on_configuration,
            random=Random(1),
            log=self.log,
        )
        follower.follow_until(self.store.is_done)

    def _on_configuration(self, received: ReceivedConfiguration) -> None:
        self.apply(int(received.value))

    def apply(self, version: int) -> None:
        # BalancerFlows.configure applies only a higher version. The first one of a
        # start is held until the peers have replied.
        if self.version:
            self.version = max(self.version, version)
            return
        peers = [node for node in self.world.nodes if node is not self]
        fleet = Fleet(self.own, now=0.0)
        fleet.apply_registrations([], now=0.0)
        for peer in peers:
            fleet.handle_status(Status(peer.own, Load(), peer.version), now=0.0)
        start: ConfigurationStart[int] = ConfigurationStart(fleet)
        start.hold(version, version=version, now=0.0)
        versions = {
            peer.name: peer.version
            for peer in peers
            if peer.name not in self.world.unreachable
        }
        in_force: list[int] = []

        def fetch(peer: Peer) -> None:
            # As BalancerNode applies what a peer sent; nothing if it did not reply.
            fetched = versions.get(peer.member.member_id)
            if fetched:
                newer = start.release(peer_version=fetched)
                in_force.extend([newer] if newer is not None else [])
                in_force.append(fetched)

        expected = max([version, *versions.values()])
        if self.world.has_early_fetch and versions:
            # A fetch that an earlier status started, not from the newest peer.
            oldest = min(versions, key=lambda name: versions[name])
            fetch(fleet.peers_by_id[oldest])
            if in_force:
                expected = max(version, versions[oldest])
        for now in (0.0, 0.1, 0.2, MAX_DELAY_SECONDS):
            taken = start.take(is_fetching=False, fetch=fetch, now=now)
            in_force.extend([taken] if taken is not None else [])
        assert not start.is_holding
        assert in_force[0] == expected
        self.version = expected


class RestoredStoreWalk(RuleBasedStateMachine):
    """Operators, nodes and restores in any order."""

    @initialize()
    def begin(self) -> None:
        self.now = 100.0
        self.state = _CheckedState(lambda: self.now)
        self.version = 1
        self.wanted: set[str] = set()
        # What operators have written, with its time: they write again what was lost.
        self.written: list[tuple[float, str, bytes | None]] = []
        self.lost: list[tuple[str, bytes | None]] = []
        self.write(CONFIGURATION, b"1")
        self.nodes: list[_Node] = []
        for number in range(NODES):
            self.nodes.append(_Node(self, number))
        self.versions = [0] * NODES
        self.unreachable: set[str] = set()
        self.has_early_fetch = False

    def write(self, key: str, value: bytes | None) -> None:
        if value is None:
            self.state.revoke(key)
        else:
            self.state.put(key, value)
        self.written.append((self.now, key, value))
        # A newer decision replaces what was lost.
        self.lost = [entry for entry in self.lost if entry[0] != key]

    @rule()
    def configure(self) -> None:
        self.version += 1
        self.write(CONFIGURATION, str(self.version).encode())

    @rule(domain=strategies.sampled_from("abc"))
    def evacuate(self, domain: str) -> None:
        self.wanted ^= {domain}
        self.write(EVACUATIONS + domain, b"{}" if domain in self.wanted else None)

    @rule(age=strategies.sampled_from([0.0, 1.0, 4.0]), pause=strategies.booleans())
    def restore(self, age: float, pause: bool) -> None:
        copied_at = self.now - age
        self.lost += [(k, v) for at, k, v in self.written if at > copied_at]
        self.written = [entry for entry in self.written if entry[0] <= copied_at]
        self.state.restore(age=age, pause=1.0 if pause else 0.0)

    @rule()
    def write_again(self) -> None:
        lost, self.lost = self.lost, []
        for key, value in lost:
            self.write(key, value)

    @rule(
        delays=strategies.lists(
            strategies.sampled_from([0.5, 2.0, 5.0]), min_size=1, max_size=3
        )
    )
    def delay_writes(self, delays: list[float]) -> None:
        self.state.faults.late_write_delays = delays

    @rule(steps=strategies.integers(1, 12))
    def run_nodes(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP_SECONDS
            for node in self.nodes:
                node.run()

    @rule(number=strategies.integers(0, NODES - 1), restores=strategies.booleans())
    def follow(self, number: int, restores: bool) -> None:
        def restore_and_write() -> None:
            self.restore(1.0, False)
            self.write_again()

        self.nodes[number].follow(4, restore_and_write if restores else None)

    @rule(number=strategies.integers(0, NODES - 1), is_clean=strategies.booleans())
    def restart(self, number: int, is_clean: bool) -> None:
        if is_clean:
            self.nodes[number].registration.deregister()
        self.nodes[number] = _Node(self, number)
        self.versions[number] = 0

    @rule(
        numbers=strategies.sets(strategies.integers(0, NODES - 1)),
        has_early_fetch=strategies.booleans(),
    )
    def set_fetches(self, numbers: set[int], has_early_fetch: bool) -> None:
        self.unreachable = {f"balancer-{number}" for number in numbers}
        self.has_early_fetch = has_early_fetch

    @rule()
    def exchange(self) -> None:
        newest = max(node.version for node in self.nodes)
        for sender in self.nodes:
            message = encode_evacuations(sender.register.current)
            for receiver in self.nodes:
                received = evacuations_from_document(parse_object(message))
                receiver.register.update(received)
        for node in self.nodes:
            if node.version:
                node.apply(newest)

    @rule()
    def converge(self) -> None:
        """Operators write again; then every order is in force within the bound."""
        self.state.faults.late_write_delays = []
        self.run_nodes(4)
        self.write_again()
        for _ in range(2):
            for node in self.nodes:
                node.follow(3)
            self.exchange()
        assert {node.version for node in self.nodes} == {self.version}
        in_force = {node.register.current.in_force for node in self.nodes}
        assert len(in_force) == 1
        assert self.wanted <= set(next(iter(in_force)))

        self.run_nodes(int(max(HOLD_SECONDS, BACK_SECONDS) / STEP_SECONDS) + 2)
        self.exchange()
        for node in self.nodes:
            assert node.register.current.in_force == self.wanted
            assert self.state.value(member_key(node.name, Role.BALANCER)) is not None
            assert self.state.value(snapshot_key(node.name)) is not None

    @invariant()
    def no_node_reverts(self) -> None:
        for number, node in enumerate(getattr(self, "nodes", ())):
            assert node.version >= self.versions[number]
            self.versions[number] = node.version


TestRestoredStoreWalk = RestoredStoreWalk.TestCase
TestRestoredStoreWalk.settings = settings(max_examples=50, stateful_step_count=20)
