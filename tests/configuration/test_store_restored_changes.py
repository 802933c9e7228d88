"""Tests of operators' changes and entry slots when the store is restored."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from siskinshift.configuration.changes import CreateService
from siskinshift.configuration.store import ConfigurationStore
from siskinshift.configuration.store import new_change_id
from siskinshift.core.views import View
from siskinshift.kv.etcd import EtcdStore
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreRestoredError
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.standins.kv_direct import DirectTransport
from siskinshift.standins.kv_state import KvState
from tests.configuration.simulation import SETTINGS
from tests.configuration.simulation import Node
from tests.kv.fakes import FakeClock


if TYPE_CHECKING:
    from siskinshift.core.http import HttpResponse


EDITOR = Service(
    service_id="editor",
    addresses=(Endpoint("10.0.0.1", 443),),
    mode=ServiceMode.REQUEST,
    upstream_class="editor",
    groups=(Group("volunteers", 3),),
)
COPY_AGE_SECONDS = 3.0


class _Transport(DirectTransport):
    """Restores the store around a transaction.

    Attributes:
        restore: "before" or "after" the next transaction, whose response is lost then;
            empty for none.
    """

    def __init__(self, state: KvState) -> None:
        super().__init__(state)
        self.restore = ""

    def post(self, path: str, body: bytes) -> HttpResponse:
        restore = self.restore if path.endswith("/txn") else ""
        self.restore = "" if restore else self.restore
        if restore == "before":
            self._state.restore(age=COPY_AGE_SECONDS)
        response = super().post(path, body)
        if restore == "after":
            self._state.restore(age=COPY_AGE_SECONDS)
            raise StoreOutcomeUnknownError("lost")
        return response


class _Scenario:
    def __init__(self) -> None:
        self.clock = FakeClock()
        self.state = KvState(self.clock, era=1)
        self.transport = _Transport(self.state)
        self.store = EtcdStore(SETTINGS.kv, transport=self.transport, clock=self.clock)
        self.changes = ConfigurationStore(self.store, sleep=lambda _: None)


@pytest.mark.parametrize("restore", ["before", "after"])
def test_an_outcome_across_a_restore_is_unknown(restore: str) -> None:
    """Guards against a change reported as applied that the restore has taken back.

    Repeated under its id, it is applied once.
    """
    scenario = _Scenario()
    scenario.store.list_prefix("x")
    scenario.clock.now += 10.0
    scenario.transport.restore = restore
    change_id = new_change_id()

    with pytest.raises(StoreOutcomeUnknownError):
        scenario.changes.apply(CreateService(EDITOR), change_id)

    first = scenario.changes.apply(CreateService(EDITOR), change_id)
    again = scenario.changes.apply(CreateService(EDITOR), change_id)
    assert first.revision == again.revision
    assert len(scenario.changes.read_all()) == 1


def test_a_watch_of_an_earlier_generation_is_not_opened() -> None:
    """Guards against a watch from a revision that was given out again."""
    scenario = _Scenario()
    revision = scenario.store.list_prefix("x").revision
    generation = scenario.store.generation
    scenario.state.restore(age=0.0)

    with pytest.raises(StoreRestoredError):
        scenario.store.watch("x", revision + 1, generation)


def test_a_holder_does_not_end_the_lease_of_another_balancer() -> None:
    """Guards against an entry slot whose lease id was given out again."""
    scenario = _Scenario()
    node = Node(1, scenario.state, scenario.clock)
    reader = node.reader
    reader.update(View(1, {}, {}))
    for _ in range(20):
        scenario.clock.now += 0.2
        reader.step()
    assert reader.holds_slot()
    scenario.state.restore(age=30.0)
    other = EtcdStore(
        SETTINGS.kv, transport=DirectTransport(scenario.state), clock=scenario.clock
    )
    foreign = other.grant_lease(60.0)

    for _ in range(30):
        scenario.clock.now += 0.2
        reader.step()

    assert reader.holds_slot()
    assert other.keep_alive(foreign.lease_id) > 0
