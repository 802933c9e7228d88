"""Stateful fuzzing of the configuration against a simple model.

Two operators race, responses are lost, writes are delayed, the store has outages, and
nodes are paused, restarted and receive old records. No accepted change may be lost or
reverted, no refused change may take effect, no two services may have one address, and
the outcome "unknown" is reported only after a fault.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING
from typing import ClassVar
from typing import TypeAlias

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from siskinshift.configuration.changes import CreateService
from siskinshift.configuration.changes import DeleteGroup
from siskinshift.configuration.changes import DeleteService
from siskinshift.configuration.changes import PutGroup
from siskinshift.configuration.changes import ReplaceService
from siskinshift.configuration.changes import SetDrain
from siskinshift.configuration.changes import SetEvacuation
from siskinshift.configuration.changes import SetShare
from siskinshift.core.views import make_view
from siskinshift.kv.guard import MAX_OPEN_SECONDS
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.standins.kv_state import KvState
from tests.configuration.simulation import Node
from tests.configuration.simulation import Operator
from tests.configuration.simulation import ReportedOutcome
from tests.configuration.simulation import check_history
from tests.configuration.simulation import written_services
from tests.kv.fakes import FakeClock


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.configuration.changes import Change
    from siskinshift.configuration.table import ServiceTable


EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "100"))
STEPS = int(os.environ.get("FUZZ_STEPS", "30"))
IS_LONG = "FUZZ_EXAMPLES" in os.environ

Revisions: TypeAlias = "Callable[[str | Service], int]"
ChangeMaker: TypeAlias = "Callable[[Revisions], Change]"

NODES = 3
SLOTS = 2
LEASE_SECONDS = 6.0
SERVICES = ("editor", "dossiers", "plans")
GROUPS = ("volunteers", "treasurers")

_services = st.sampled_from(SERVICES)
_groups = st.sampled_from(GROUPS)
_shares = st.integers(0, 3)
_operators = st.integers(0, 1)
_nodes = st.integers(0, NODES - 1)
# 0 is the current revision, n the revision n versions ago.
_ages = st.sampled_from([0, 0, 0, 0, 1, 2])
_FAULTS = (
    "ok",
    "ok",
    "unreachable",
    "write lost",
    "write delayed",
    "response lost",
    "deliver before",
    "deliver after",
)
# The first request of a change reads, the second writes, the others resolve.
_faults = st.builds(
    lambda write, others: ["ok", write, *others],
    st.sampled_from(_FAULTS[3:6]),
    st.lists(st.sampled_from(_FAULTS), max_size=8),
)
_contents = st.builds(
    lambda name, port, share: Service(
        service_id=name,
        addresses=(Endpoint("10.0.0.1", port),),
        mode=ServiceMode.DATAGRAM,
        upstream_class="class",
        groups=(Group("volunteers", share),),
    ),
    _services,
    st.integers(1, 3),
    st.integers(1, 3),
)
# Each maps a function for revisions to a change based on such a revision.
_changes = st.one_of(
    _contents.map(lambda content: lambda _: CreateService(content)),
    _contents.map(
        lambda content: lambda revision: ReplaceService(content, revision(content))
    ),
    _services.map(lambda name: lambda revision: DeleteService(name, revision(name))),
    st.builds(
        lambda name, group, share: lambda _: PutGroup(name, Group(group, share)),
        _services,
        _groups,
        _shares,
    ),
    st.builds(
        lambda name, group, share: lambda _: SetShare(name, group, share),
        _services,
        _groups,
        _shares,
    ),
    st.builds(
        lambda name, group: lambda _: DeleteGroup(name, group), _services, _groups
    ),
    st.builds(
        lambda name, drained: lambda _: SetDrain(name, "agent-1", drained),
        _services,
        st.booleans(),
    ),
    st.builds(
        lambda name, domain, evacuated: (
            lambda _: SetEvacuation(name, domain, evacuated)
        ),
        _services,
        st.sampled_from(["a", "b"]),
        st.booleans(),
    ),
)


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators and nodes that share one store."""

    steps: ClassVar[int] = 0
    outcome_counts: ClassVar[dict[str, int]] = {}

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.state = KvState(self.clock)
        self.operators = [
            Operator(f"operator-{i}", self.state, self.clock) for i in (0, 1)
        ]
        self.nodes = [Node(i, self.state, self.clock) for i in range(NODES)]
        self.lapsed_until = 0.0
        self.outage_steps = 0

    @initialize(contents=st.lists(_contents, min_size=1, max_size=3))
    def begin(self, contents: list[Service]) -> None:
        for content in contents:
            self.operators[0].apply(CreateService(content), [])

    @rule(who=_operators, change_maker=_changes, age=_ages, node=_nodes)
    def change(self, who: int, change_maker: ChangeMaker, age: int, node: int) -> None:
        """One operator applies a change without faults."""
        self._apply(who, change_maker, age, node, [], None)

    @rule(who=_operators, change_maker=_changes, age=_ages, node=_nodes, faults=_faults)
    def change_with_faults(
        self,
        who: int,
        change_maker: ChangeMaker,
        age: int,
        node: int,
        faults: list[str],
    ) -> None:
        """One operator applies a change with faults in its requests."""
        self._apply(who, change_maker, age, node, faults, None)

    @rule(
        who=_operators,
        change_maker=_changes,
        other_change_maker=_changes,
        ages=st.tuples(_ages, _ages),
        node=_nodes,
        calls_before=st.integers(0, 3),
        faults=_faults,
        other_faults=_faults,
    )
    def race(
        self,
        who: int,
        change_maker: ChangeMaker,
        other_change_maker: ChangeMaker,
        ages: tuple[int, int],
        node: int,
        calls_before: int,
        faults: list[str],
        other_faults: list[str],
    ) -> None:
        """The other operator applies a change between two requests of the first."""

        def other_change() -> None:
            self._apply(1 - who, other_change_maker, ages[1], node, other_faults, None)

        first = [*faults, *["ok"] * calls_before][:calls_before]
        faults = [*first, "race", *faults[calls_before:]]
        self._apply(who, change_maker, ages[0], node, faults, other_change)

    @rule(who=_operators, port=st.integers(1, 3), names=st.permutations(SERVICES))
    def race_for_an_address(self, who: int, port: int, names: list[str]) -> None:
        """Both operators concurrently assign one address to two services."""
        changes = [self._give_address(name, port) for name in names[:2]]

        def other_change() -> None:
            self.operators[1 - who].apply(changes[1], [])

        self.clock.now += MAX_OPEN_SECONDS
        self.operators[who].apply(changes[0], ["ok", "race"], other_change)

    @rule(who=_operators)
    def deliver(self, who: int) -> None:
        self.operators[who].transport.deliver()

    @rule(node=_nodes, peer=_nodes)
    def gossip(self, node: int, peer: int) -> None:
        """A node receives the records of a peer."""
        records = self.nodes[peer].table.services_by_id.values()
        self.nodes[node].table.merge_all(records)

    @rule(node=_nodes)
    def read_before_a_pause(self, node: int) -> None:
        """A node has read all records and is paused before it merges them."""
        last_by_id = {
            record.service_id: record for record in written_services(self.state)
        }
        self.nodes[node].stale_records = list(last_by_id.values())

    @rule(node=_nodes)
    def update_after_the_pause(self, node: int) -> None:
        self.nodes[node].table.merge_all(self.nodes[node].stale_records)

    @rule(node=_nodes, peer=_nodes)
    def restart(self, node: int, peer: int) -> None:
        """A node restarts and receives the records of a peer."""
        self.nodes[node] = Node(node, self.state, self.clock)
        self.gossip(node, peer)

    @rule(nodes=st.lists(_nodes, min_size=1, max_size=6))
    def step_nodes(self, nodes: list[int]) -> None:
        """Some nodes run one step each; the others are paused."""
        self._publish_views()
        for node in nodes:
            self.nodes[node].reader.step()
            self.clock.now += 0.1

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 60.0]))
    def pass_time(self, seconds: float) -> None:
        self.clock.now += seconds

    @rule(steps=st.integers(1, 5))
    def begin_outage(self, steps: int) -> None:
        self.outage_steps = steps
        self.state.faults.down = True

    @rule()
    def lapse_leases(self) -> None:
        """The store expires leases early, as after a pause of its process."""
        self.state.lapse_leases()
        self.lapsed_until = self.clock.now + LEASE_SECONDS

    @invariant()
    def reported_outcomes_are_true(self) -> None:
        ConfigurationMachine.steps += 1
        self.outage_steps -= 1
        self.state.faults.down = self.outage_steps > 0
        outcomes_by_id = self._outcomes_by_id()
        records = written_services(self.state)
        check_history(
            records,
            {
                change_id: outcome.change
                for change_id, outcome in outcomes_by_id.items()
            },
        )
        revisions_by_change = {r.change_id: r.revision for r in records}
        for change_id, reported in outcomes_by_id.items():
            written = revisions_by_change.get(change_id)
            if reported.outcome == "accepted":
                assert written == reported.revision, "an accepted change is lost"
            elif reported.outcome == "refused":
                assert written is None, "a refused change took effect"
            else:
                assert reported.had_fault, "unknown outcome without a fault"

    @invariant()
    def no_record_is_replaced_by_an_older_one(self) -> None:
        records = {(r.service_id, r.revision): r for r in written_services(self.state)}
        for node in self.nodes:
            for name, service in node.table.services_by_id.items():
                assert service.revision >= node.last_revisions_by_id.get(name, 0)
                assert service == records[name, service.revision]
                node.last_revisions_by_id[name] = service.revision

    @invariant()
    def no_more_holders_than_slots(self) -> None:
        if self.clock.now < self.lapsed_until:
            return
        held = [node.reader.holds_slot() for node in self.nodes]
        assert sum(held) <= SLOTS

    def teardown(self) -> None:
        """After all faults, every node converges to the last written records."""
        for operator in self.operators:
            operator.transport.deliver()
        self.reported_outcomes_are_true()
        for reported in self._outcomes_by_id().values():
            counts = ConfigurationMachine.outcome_counts
            counts[reported.outcome] = counts.get(reported.outcome, 0) + 1
        self.state.faults.down = False
        for _ in range(300):
            self.step_nodes(list(range(NODES)))
        tables = [node.table for node in self.nodes]
        _merge_all_tables(tables)
        last_by_id = {
            record.service_id: record for record in written_services(self.state)
        }
        assert all(dict(table.services_by_id) == last_by_id for table in tables)

    def _apply(
        self,
        who: int,
        change_maker: ChangeMaker,
        age: int,
        node: int,
        faults: list[str],
        race: Callable[[], None] | None,
    ) -> None:
        # Lets a circuit breaker that opened earlier admit requests again.
        self.clock.now += MAX_OPEN_SECONDS
        change = change_maker(self._revisions(age))
        accepted = self.operators[who].apply(change, faults, race)
        if accepted is not None and accepted.service is not None:
            self.nodes[node].table.merge(accepted.service)

    def _give_address(self, name: str, port: int) -> Change:
        content = Service(
            service_id=name,
            addresses=(Endpoint("10.0.0.1", port),),
            mode=ServiceMode.DATAGRAM,
            upstream_class="class",
        )
        records = [
            record
            for record in written_services(self.state)
            if record.service_id == name
        ]
        if records and not records[-1].deleted:
            return ReplaceService(content, records[-1].revision)
        return CreateService(content)

    def _outcomes_by_id(self) -> dict[str, ReportedOutcome]:
        first, second = self.operators
        return first.outcomes_by_id | second.outcomes_by_id

    def _revisions(self, age: int) -> Revisions:
        """Returns a function that finds a service's revision of the given age."""

        def find(name: str | Service) -> int:
            service_id = name.service_id if isinstance(name, Service) else name
            revisions = [
                record.revision
                for record in written_services(self.state)
                if record.service_id == service_id
            ]
            return revisions[-1 - age] if len(revisions) > age else 1

        return find

    def _publish_views(self) -> None:
        members = [node.member for node in self.nodes]
        view = make_view(version=1, services=(), members=members)
        for node in self.nodes:
            node.reader.update(view)


def _merge_all_tables(tables: list[ServiceTable]) -> None:
    for table in tables:
        for peer in tables:
            table.merge_all(peer.services_by_id.values())


def test_configuration_is_consistent_under_faults() -> None:
    run_state_machine_as_test(
        ConfigurationMachine,
        settings=hypothesis_settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=not IS_LONG,
            deadline=None,
            database=None,
        ),
    )
    if IS_LONG:
        print(
            f"{ConfigurationMachine.steps} steps, "
            f"outcomes {ConfigurationMachine.outcome_counts}"
        )
