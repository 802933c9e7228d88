"""Reading by a holder of an entry slot, and its faults."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from siskinshift.configuration.changes import CreateService
from siskinshift.configuration.changes import DeleteService
from siskinshift.configuration.changes import SetShare
from siskinshift.configuration.read_schedule import CheckRoot
from siskinshift.configuration.read_schedule import ConfigurationReading
from siskinshift.configuration.read_schedule import OpenWatch
from siskinshift.configuration.read_schedule import ReadAll
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
def world() -> StoreScenario:
    return StoreScenario()


@pytest.fixture
def node(world: StoreScenario) -> Node:
    return Node(0, world.state, world.clock)


def _run(node: Node, world: StoreScenario, seconds: float) -> None:
    view = make_view(version=1, services=(), members=[node.member])
    node.reader.update(view)
    for _ in range(round(seconds * 2)):
        node.reader.step()
        world.clock.now += 0.5


def test_a_holder_reads_and_follows(world: StoreScenario, node: Node) -> None:
    world.create()
    _run(node, world, 5)
    before = dict(node.table.services_by_id)
    world.first.apply(SetShare("editor", "volunteers", 9), [])
    _run(node, world, 1)

    assert list(before) == ["editor"]
    assert node.member.entry_slot > 0
    assert node.table.services_by_id["editor"].groups[0].share == 9


def test_an_hour_without_the_store_changes_nothing(
    world: StoreScenario, node: Node
) -> None:
    """The editor is down for as long as the platform's store is.

    The store goes away, the lease of the slot lapses, reads fail. A balancer that took
    "nothing read" for "nothing configured" would drop its services.
    """
    world.create()
    _run(node, world, 5)
    before = dict(node.table.services_by_id)
    world.state.faults.down = True
    calls = sum(world.state.calls_by_path.values())
    _run(node, world, HOUR_SECONDS)
    calls = sum(world.state.calls_by_path.values()) - calls
    during = dict(node.table.services_by_id)
    world.state.faults.down = False
    world.first.apply(SetShare("editor", "volunteers", 9), [])
    _run(node, world, 40)

    assert during == before
    assert calls < HOUR_SECONDS / 5
    assert node.table.services_by_id["editor"].groups[0].share == 9
    assert node.reader.holds_slot()


def test_an_old_record_does_not_bring_a_deleted_service_back(
    world: StoreScenario,
) -> None:
    """A deleted service answers again after a node was restarted.

    The node that was restarted asks a peer that was cut off while the service was
    deleted; gossip then carries the old record on.
    """
    created = world.create()
    world.first.apply(DeleteService("editor", created.revision), [])
    (tombstone,) = world.first.store.read_all()
    table = ServiceTable()
    table.merge(tombstone)

    assert created.service is not None
    assert not table.merge(created.service)
    assert table.services_by_id["editor"].deleted


def test_nonsense_in_the_store_stops_no_reader(
    world: StoreScenario, node: Node
) -> None:
    world.create()
    _run(node, world, 5)
    before = dict(node.table.services_by_id)
    for garbage in (b"", b"[]", b'{"kvs": 1}', b'{"result": []}', b"\xff"):
        world.state.faults.garbage = garbage
        _run(node, world, 30)
    world.state.faults.garbage = None
    _run(node, world, 60)

    assert node.table.services_by_id == before
    assert node.reader.holds_slot()


def _reading() -> ConfigurationReading:
    settings = make_settings("[kv]\ncheck_interval = 2\n")
    return ConfigurationReading(settings.kv, random=Random(1))


def test_a_watch_that_went_silent_is_found_by_the_root() -> None:
    """A change is in force nowhere for minutes though the store is well.

    Something on the way lost track of the watch's connection: no error, no event.
    """
    reading = _reading()
    assert reading.step(holds_slot=True, now=0.0) == ReadAll()
    reading.on_read(root_revision=5, revision=7, now=0.0)
    assert reading.step(holds_slot=True, now=0.1) == OpenWatch(8)
    assert reading.step(holds_slot=True, now=0.2) is None

    assert reading.step(holds_slot=True, now=2.0) == CheckRoot()
    reading.on_checked(root_revision=5)
    assert reading.step(holds_slot=True, now=2.1) is None
    assert reading.step(holds_slot=True, now=4.1) == CheckRoot()
    reading.on_checked(root_revision=9)
    assert reading.step(holds_slot=True, now=4.2) == ReadAll()


def test_a_balancer_without_a_slot_reads_nothing() -> None:
    reading = _reading()

    assert [reading.step(holds_slot=False, now=float(t)) for t in range(100)] == [
        None
    ] * 100


def test_a_compacted_watch_begins_with_a_read() -> None:
    reading = _reading()
    reading.on_read(root_revision=5, revision=7, now=0.0)
    reading.step(holds_slot=True, now=0.1)
    reading.on_watch_ended(compacted=True)

    assert reading.step(holds_slot=True, now=0.2) == ReadAll()


def test_the_order_of_arrival_does_not_matter(world: StoreScenario) -> None:
    world.create()
    records: list[Service] = [*world.first.store.read_all()]
    for share in (4, 5, 6):
        world.first.apply(SetShare("editor", "volunteers", share), [])
        records += world.first.store.read_all()
    tables = [ServiceTable() for _ in range(5)]
    for number, table in enumerate(tables):
        shuffled = list(records)
        Random(number).shuffle(shuffled)
        for record in shuffled:
            table.merge(record)

    assert {table.services_by_id["editor"].groups[0].share for table in tables} == {6}


def test_a_created_service_is_watched_whole(world: StoreScenario, node: Node) -> None:
    _run(node, world, 5)
    world.first.apply(CreateService(EDITOR), [])
    _run(node, world, 3)

    assert node.table.services_by_id["editor"].addresses == EDITOR.addresses


def test_a_watch_is_opened_again_whatever_ended_it(
    world: StoreScenario, node: Node
) -> None:
    """Changes come into force only with the next root check, seconds late.

    A fault while records are taken ends the task of the watch; nobody tells the
    decision, which believes the watch open for ever.
    """
    _run(node, world, 5)
    take = node.table.merge_all

    def fail(_: object) -> bool:
        raise RuntimeError

    node.reader._on_services = fail
    world.create()
    with pytest.raises(RuntimeError):
        _run(node, world, 5)
    node.reader._on_services = take
    watches = world.state.calls_by_path["/v3/watch"]
    _run(node, world, 5)

    assert world.state.calls_by_path["/v3/watch"] > watches
    assert "editor" in node.table.services_by_id
