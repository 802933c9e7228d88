"""Tests of the configuration reader and its read schedule."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from siskinshift.configuration.changes import CreateService
from siskinshift.configuration.changes import DeleteService
from siskinshift.configuration.changes import SetShare
from siskinshift.configuration.read_schedule import CheckRoot
from siskinshift.configuration.read_schedule import OpenWatch
from siskinshift.configuration.read_schedule import ReadAll
from siskinshift.configuration.read_schedule import ReadSchedule
from siskinshift.configuration.table import ServiceTable
from siskinshift.core.views import make_view
from tests.configuration.simulation import Node
from tests.configuration.test_store import EDITOR
from tests.configuration.test_store import StoreScenario
from tests.kv.fakes import make_settings


if TYPE_CHECKING:
    from siskinshift.messages.core import Service


HOUR_SECONDS = 3600


@pytest.fixture
def scenario() -> StoreScenario:
    return StoreScenario()


@pytest.fixture
def node(scenario: StoreScenario) -> Node:
    return Node(0, scenario.state, scenario.clock)


def _run(node: Node, scenario: StoreScenario, seconds: float) -> None:
    view = make_view(version=1, services=(), members=[node.member])
    node.reader.update(view)
    for _ in range(round(seconds * 2)):
        node.reader.step()
        scenario.clock.now += 0.5


def test_a_holder_reads_and_watches(scenario: StoreScenario, node: Node) -> None:
    scenario.create()
    _run(node, scenario, 5)
    before = dict(node.table.services_by_id)
    scenario.first.apply(SetShare("editor", "volunteers", 9), [])
    _run(node, scenario, 1)

    assert list(before) == ["editor"]
    assert node.member.entry_slot > 0
    assert node.table.services_by_id["editor"].groups[0].share == 9


def test_an_outage_of_an_hour_keeps_the_configuration(
    scenario: StoreScenario, node: Node
) -> None:
    """Guards against services that are dropped during an outage of the store.

    The slot's lease expires and reads fail. A failed read must not count as an empty
    configuration.
    """
    scenario.create()
    _run(node, scenario, 5)
    before = dict(node.table.services_by_id)
    scenario.state.faults.down = True
    calls = sum(scenario.state.request_counts_by_path.values())
    _run(node, scenario, HOUR_SECONDS)
    calls = sum(scenario.state.request_counts_by_path.values()) - calls
    during = dict(node.table.services_by_id)
    scenario.state.faults.down = False
    scenario.first.apply(SetShare("editor", "volunteers", 9), [])
    _run(node, scenario, 40)

    assert during == before
    assert calls < HOUR_SECONDS / 5
    assert node.table.services_by_id["editor"].groups[0].share == 9
    assert node.reader.holds_slot()


def test_an_old_record_does_not_restore_a_deleted_service(
    scenario: StoreScenario,
) -> None:
    """Guards against a deleted service that is restored after a node restart.

    The restarted node receives the old record from a peer that was partitioned during
    the deletion, and gossip propagates it.
    """
    created = scenario.create()
    scenario.first.apply(DeleteService("editor", created.revision), [])
    (tombstone,) = scenario.first.store.read_all()
    table = ServiceTable()
    table.merge(tombstone)

    assert created.service is not None
    assert not table.merge(created.service)
    assert table.services_by_id["editor"].deleted


def test_malformed_responses_do_not_stop_a_reader(
    scenario: StoreScenario, node: Node
) -> None:
    scenario.create()
    _run(node, scenario, 5)
    before = dict(node.table.services_by_id)
    for garbage in (b"", b"[]", b'{"kvs": 1}', b'{"result": []}', b"\xff"):
        scenario.state.faults.garbage = garbage
        _run(node, scenario, 30)
    scenario.state.faults.garbage = None
    _run(node, scenario, 60)

    assert node.table.services_by_id == before
    assert node.reader.holds_slot()


def _schedule() -> ReadSchedule:
    settings = make_settings("[kv]\ncheck_interval = 2\n")
    return ReadSchedule(settings.kv, random=Random(1))


def test_a_stalled_watch_is_detected_by_a_root_check() -> None:
    """Guards against a change that takes effect minutes late with a healthy store.

    A middlebox lost the state of the watch's connection: neither errors nor events.
    """
    schedule = _schedule()
    assert schedule.step(holds_slot=True, now=0.0) == ReadAll()
    schedule.on_all_read(root_revision=5, revision=7, now=0.0)
    assert schedule.step(holds_slot=True, now=0.1) == OpenWatch(8)
    assert schedule.step(holds_slot=True, now=0.2) is None

    assert schedule.step(holds_slot=True, now=2.0) == CheckRoot()
    schedule.on_root_checked(root_revision=5)
    assert schedule.step(holds_slot=True, now=2.1) is None
    assert schedule.step(holds_slot=True, now=4.1) == CheckRoot()
    schedule.on_root_checked(root_revision=9)
    assert schedule.step(holds_slot=True, now=4.2) == ReadAll()


def test_a_balancer_without_a_slot_reads_nothing() -> None:
    schedule = _schedule()

    assert [schedule.step(holds_slot=False, now=float(t)) for t in range(100)] == [
        None
    ] * 100


def test_a_compacted_watch_causes_a_full_read() -> None:
    schedule = _schedule()
    schedule.on_all_read(root_revision=5, revision=7, now=0.0)
    schedule.step(holds_slot=True, now=0.1)
    schedule.on_watch_ended(compacted=True)

    assert schedule.step(holds_slot=True, now=0.2) == ReadAll()


def test_the_order_of_records_does_not_matter(scenario: StoreScenario) -> None:
    scenario.create()
    records: list[Service] = [*scenario.first.store.read_all()]
    for share in (4, 5, 6):
        scenario.first.apply(SetShare("editor", "volunteers", share), [])
        records += scenario.first.store.read_all()
    tables = [ServiceTable() for _ in range(5)]
    for number, table in enumerate(tables):
        shuffled = list(records)
        Random(number).shuffle(shuffled)
        for record in shuffled:
            table.merge(record)

    assert {table.services_by_id["editor"].groups[0].share for table in tables} == {6}


def test_a_created_service_is_received_by_the_watch(
    scenario: StoreScenario, node: Node
) -> None:
    _run(node, scenario, 5)
    scenario.first.apply(CreateService(EDITOR), [])
    _run(node, scenario, 3)

    assert node.table.services_by_id["editor"].addresses == EDITOR.addresses


def test_a_watch_is_reopened_after_any_failure(
    scenario: StoreScenario, node: Node
) -> None:
    """Guards against changes that take effect only with the next root check.

    An exception in the record handler ended the watch task without a report, so the
    schedule treated the watch as open for ever.
    """
    _run(node, scenario, 5)
    merge_all = node.table.merge_all

    def fail(_: object) -> bool:
        raise RuntimeError

    node.reader._on_services = fail
    scenario.create()
    with pytest.raises(RuntimeError):
        _run(node, scenario, 5)
    node.reader._on_services = merge_all
    watches = scenario.state.request_counts_by_path["/v3/watch"]
    _run(node, scenario, 5)

    assert scenario.state.request_counts_by_path["/v3/watch"] > watches
    assert "editor" in node.table.services_by_id
