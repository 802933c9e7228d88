"""Tests of operators' changes with faults of the key-value store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.configuration.changes import CreateService
from siskinshift.configuration.changes import DeleteService
from siskinshift.configuration.changes import ReplaceService
from siskinshift.configuration.changes import SetShare
from siskinshift.configuration.exceptions import ChangeRefusedError
from siskinshift.configuration.exceptions import NameTakenError
from siskinshift.configuration.exceptions import RevisionConflictError
from siskinshift.configuration.records import CHANGE_HISTORY_SIZE
from siskinshift.configuration.records import ROOT_KEY
from siskinshift.configuration.records import service_key
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Put
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.standins.kv_state import KvState
from tests.configuration.simulation import Operator
from tests.kv.fakes import FakeClock
from tests.kv.fakes import make_store


if TYPE_CHECKING:
    from siskinshift.configuration.store import AcceptedChange


EDITOR = Service(
    service_id="editor",
    addresses=(Endpoint("10.0.0.1", 443),),
    mode=ServiceMode.REQUEST,
    upstream_class="editor",
    groups=(Group("volunteers", 3),),
)
PLANS = attrs.evolve(EDITOR, service_id="plans", addresses=(Endpoint("10.0.0.2", 1),))


class StoreScenario:
    """One store and two operators."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.state = KvState(self.clock)
        self.first = Operator("first", self.state, self.clock)
        self.second = Operator("second", self.state, self.clock)

    def create(self, service: Service = EDITOR) -> AcceptedChange:
        accepted = self.first.apply(CreateService(service), [])
        assert accepted is not None
        return accepted

    def last_outcome(self, operator: Operator) -> str:
        return list(operator.outcomes_by_id.values())[-1].outcome


@pytest.fixture
def scenario() -> StoreScenario:
    return StoreScenario()


def test_concurrent_changes_with_one_address_do_not_both_succeed(
    scenario: StoreScenario,
) -> None:
    """Guards against two services with one address.

    Two operators concurrently create services with the same address. Neither reads the
    other's record, and writes to different keys don't conflict. Callers of one service
    would reach the other one through some balancers.
    """
    rival = attrs.evolve(EDITOR, service_id="rival")

    scenario.first.apply(
        CreateService(EDITOR),
        ["ok", "race"],
        lambda: scenario.second.apply(CreateService(rival), []),
    )

    assert (
        scenario.last_outcome(scenario.second),
        scenario.last_outcome(scenario.first),
    ) == (
        "accepted",
        "refused",
    )


def test_concurrent_changes_of_two_services_both_succeed(
    scenario: StoreScenario,
) -> None:
    scenario.first.apply(
        CreateService(EDITOR),
        ["ok", "race"],
        lambda: scenario.second.apply(CreateService(PLANS), []),
    )

    assert sorted(scenario.first.store.read().services_by_id) == ["editor", "plans"]


def test_the_second_change_based_on_one_revision_is_refused(
    scenario: StoreScenario,
) -> None:
    revision = scenario.create().revision
    change = ReplaceService(EDITOR, revision)
    accepted = scenario.second.apply(change, [])

    with pytest.raises(RevisionConflictError) as caught:
        scenario.first.store.apply(change, "change-0001")

    assert accepted is not None
    assert caught.value.current_revision == accepted.revision


def test_a_delayed_write_never_takes_effect_after_it_was_resolved(
    scenario: StoreScenario,
) -> None:
    """Guards against a change that takes effect after it was reported as refused.

    The write is delayed in transit. The balancer reads the root, doesn't find the
    change and reports that it had no effect. Minutes later the write arrives.
    """
    scenario.create()
    scenario.first.apply(SetShare("editor", "volunteers", 9), ["ok", "write delayed"])
    outcome = scenario.last_outcome(scenario.first)
    scenario.first.transport.deliver()

    (editor,) = scenario.first.store.read_all()
    # A fence invalidated the delayed write, and the same call wrote the change again.
    assert outcome == "accepted"
    assert [group.share for group in editor.groups] == [9]
    scenario.second.apply(SetShare("editor", "volunteers", 4), [])
    scenario.first.transport.deliver()
    (editor,) = scenario.first.store.read_all()
    assert [group.share for group in editor.groups] == [4]


def test_a_lost_response_is_resolved_after_a_later_change(
    scenario: StoreScenario,
) -> None:
    """Guards against "refused" for a change that took effect.

    The response to the write is lost, and another operator replaces the record before
    the balancer reads it, so the record no longer has the id of the change.
    """
    scenario.create()
    scenario.first.apply(
        SetShare("editor", "volunteers", 9),
        ["ok", "response lost", "race"],
        lambda: scenario.second.apply(SetShare("editor", "volunteers", 4), []),
    )

    assert scenario.last_outcome(scenario.first) == "accepted"
    (editor,) = scenario.first.store.read_all()
    assert [group.share for group in editor.groups] == [4]


def test_an_unresolved_outcome_is_unknown(scenario: StoreScenario) -> None:
    scenario.create()
    faults = ["ok", "response lost", *["unreachable"] * 8]
    scenario.first.apply(SetShare("editor", "volunteers", 9), faults)

    assert scenario.last_outcome(scenario.first) == "unknown"
    (change_id,) = [
        change_id
        for change_id, reported in scenario.first.outcomes_by_id.items()
        if reported.outcome != "accepted"
    ]
    scenario.clock.now += 60
    found = scenario.first.store.find(change_id)
    assert found is not None
    assert found.service_id == "editor"


def test_a_change_dropped_from_the_history_is_unknown(
    scenario: StoreScenario,
) -> None:
    """Guards against "refused" for a change that took effect.

    The response is lost, and so many other changes follow that the change history no
    longer includes it when the balancer reads the root.
    """
    scenario.create()

    def many_changes() -> None:
        for number in range(CHANGE_HISTORY_SIZE + 1):
            scenario.second.apply(SetShare("editor", "volunteers", number + 1), [])

    scenario.first.apply(
        SetShare("editor", "volunteers", 9),
        ["ok", "response lost", "race"],
        many_changes,
    )

    assert scenario.last_outcome(scenario.first) == "unknown"


def test_a_repeated_change_id_is_applied_once(scenario: StoreScenario) -> None:
    store = scenario.first.store
    first = store.apply(CreateService(EDITOR), "change-0001")
    again = store.apply(CreateService(EDITOR), "change-0001")

    assert again == first
    assert store.apply(SetShare("editor", "volunteers", 1), "change-0002")
    assert store.apply(CreateService(EDITOR), "change-0001").revision == first.revision
    with pytest.raises(ChangeRefusedError):
        store.apply(CreateService(PLANS), "change-0001")


def test_a_deleted_service_frees_its_name_and_address(
    scenario: StoreScenario,
) -> None:
    revision = scenario.create().revision
    scenario.first.store.apply(DeleteService("editor", revision), "change-0001")
    created = scenario.first.store.apply(
        CreateService(attrs.evolve(EDITOR, service_id="other")), "change-0002"
    )
    with pytest.raises(NameTakenError):
        scenario.first.store.apply(CreateService(EDITOR), "change-0004")
    assert created.service is not None
    again = attrs.evolve(EDITOR, addresses=PLANS.addresses)
    assert scenario.first.store.apply(CreateService(again), "change-0003").revision


@pytest.mark.parametrize("key", [ROOT_KEY, service_key("editor")])
def test_malformed_records_are_not_overwritten(
    key: str, scenario: StoreScenario
) -> None:
    scenario.create()
    make_store(scenario.state, scenario.clock).transact((), (Put(key, b"nonsense"),))

    with pytest.raises(StoreUnavailableError):
        scenario.first.store.apply(SetShare("editor", "volunteers", 9), "change-0001")


def test_a_malformed_record_does_not_hide_the_others(
    scenario: StoreScenario,
) -> None:
    scenario.create()
    scenario.create(PLANS)
    store = make_store(scenario.state, scenario.clock)
    store.transact((), (Put(service_key("editor"), b"nonsense"),))

    configuration = scenario.first.store.read()

    assert sorted(configuration.services_by_id) == ["plans"]
    assert configuration.unreadable == (service_key("editor"),)


INVALID_SERVICES_BY_NAME = {
    "no address": attrs.evolve(EDITOR, addresses=()),
    "name for an address": attrs.evolve(EDITOR, addresses=(Endpoint("host", 1),)),
    "no port": attrs.evolve(EDITOR, addresses=(Endpoint("10.0.0.1", 0),)),
    "all hosts": attrs.evolve(EDITOR, addresses=(Endpoint("0.0.0.0", 1),)),
    "one address twice": attrs.evolve(
        EDITOR, addresses=(Endpoint("::1", 1), Endpoint("0:0::1", 1))
    ),
    "empty id": attrs.evolve(EDITOR, service_id=""),
    "path for an id": attrs.evolve(EDITOR, service_id="../root"),
    "long id": attrs.evolve(EDITOR, service_id="x" * 64),
    "share 0": attrs.evolve(EDITOR, groups=(Group("volunteers", 0),)),
    "bad group": attrs.evolve(EDITOR, groups=(Group("all of them", 1),)),
    "group twice": attrs.evolve(EDITOR, groups=(Group("a", 1), Group("a", 2))),
    "bad digest": attrs.evolve(EDITOR, groups=(Group("a", 1, "secret"),)),
    "importance 0": attrs.evolve(EDITOR, importance=0),
    "no class": attrs.evolve(EDITOR, upstream_class=""),
    "bad domain": attrs.evolve(EDITOR, placement=("",)),
    "too large": attrs.evolve(
        EDITOR, groups=tuple(Group(f"group-{i}", 1) for i in range(3000))
    ),
}


@pytest.mark.parametrize("name", INVALID_SERVICES_BY_NAME)
def test_invalid_services_are_refused(name: str, scenario: StoreScenario) -> None:
    with pytest.raises(ChangeRefusedError):
        scenario.first.store.apply(
            CreateService(INVALID_SERVICES_BY_NAME[name]), "change-0001"
        )

    assert scenario.state.keys() == []


def test_an_outage_refuses_changes_before_a_write(
    scenario: StoreScenario,
) -> None:
    scenario.state.faults.down = True

    with pytest.raises(StoreUnavailableError):
        scenario.first.store.apply(CreateService(EDITOR), "change-0001")
