"""Stateful fuzzing of balancers and agents, with the owner of each flow as oracle."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from tests.flows.buckets import few_buckets
from tests.flows.walk import AGENTS_BY_CLASS
from tests.flows.walk import MOST_AGENTS
from tests.flows.walk import Walk


if TYPE_CHECKING:
    from collections.abc import Iterator


INDEX = st.integers(0, 1 << 16)
CLASS = st.sampled_from(tuple(AGENTS_BY_CLASS))
WEIGHT = st.sampled_from((100, 500, 1000))


@pytest.fixture(autouse=True)
def _few_buckets() -> Iterator[None]:
    with few_buckets():
        yield


class HandOverMachine(RuleBasedStateMachine):
    """Hypothesis chooses the events that `Walk` draws at random."""

    def __init__(self) -> None:
        super().__init__()
        self.walk = Walk(0)
        self.network = self.walk.network

    def _pick(self, members: list[str], index: int) -> str:
        return members[index % len(members)]

    @rule(index=INDEX, copy=st.booleans())
    def deliver(self, index: int, copy: bool) -> None:
        self.network.deliver(index, copy=copy)

    @rule(index=INDEX)
    def drop_message(self, index: int) -> None:
        self.network.drop_message(index)

    @rule(index=INDEX)
    def deliver_update(self, index: int) -> None:
        self.network.deliver_update(index)

    @rule(seconds=st.sampled_from((0.05, 0.5, 1.0, 3.0)))
    def advance(self, seconds: float) -> None:
        self.network.advance(seconds)

    @rule(name=CLASS)
    def open_flow(self, name: str) -> None:
        self.network.open_flow(name)

    @precondition(lambda self: self.network.flows)
    @rule(index=INDEX)
    def send(self, index: int) -> None:
        self.network.send(self.network.flows[index % len(self.network.flows)])

    @precondition(lambda self: self.network.flows)
    @rule(index=INDEX)
    def end_flow(self, index: int) -> None:
        self.network.end_flow(self.network.flows[index % len(self.network.flows)])

    @rule(name=CLASS, weight=WEIGHT)
    def join(self, name: str, weight: int) -> None:
        if len(self.network.agents(name)) < MOST_AGENTS:
            self.network.join(name, weight)

    @rule(name=CLASS, index=INDEX, weight=WEIGHT)
    def change_weight(self, name: str, index: int, weight: int) -> None:
        ready = self.network.ready_agents(name)
        self.network.change_weight(self._pick(ready, index), weight)

    @rule(name=CLASS, index=INDEX)
    def drain(self, name: str, index: int) -> None:
        ready = self.network.ready_agents(name)
        if len(ready) > 1:
            self.network.drain(self._pick(ready, index))

    @rule(name=CLASS, index=INDEX)
    def crash(self, name: str, index: int) -> None:
        if len(self.network.ready_agents(name)) > 1:
            self.network.crash(self._pick(self.network.agents(name), index))

    @rule(name=CLASS, index=INDEX)
    def pause(self, name: str, index: int) -> None:
        ready = self.network.ready_agents(name)
        if len(ready) > 1:
            self.walk.pause(self._pick(ready, index))

    @rule(name=CLASS, index=INDEX)
    def restart(self, name: str, index: int) -> None:
        ready = self.network.ready_agents(name)
        self.network.restart(self._pick(ready, index))

    @invariant()
    def established_flows_stay(self) -> None:
        self.walk.check()

    def teardown(self) -> None:
        self.network.check_after_convergence()
        self.walk.check()


TestHandOver = HandOverMachine.TestCase
TestHandOver.settings = hypothesis_settings(max_examples=40, stateful_step_count=60)

# Seeds that once exposed a fault; tests/flows/test_handover_faults.py covers the
# faults one by one.
REGRESSION_SEEDS = (0, 2, 29, 60, 77, 102, 202, 268, 359, 421, 3195, 20194, 21360)

LONG_REGRESSION_SEEDS = (50000, 50228, 50281, 50424)


@pytest.mark.parametrize("seed", LONG_REGRESSION_SEEDS)
def test_long_regression_seeds_keep_flows(seed: int) -> None:
    Walk(seed).run(1500)


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_regression_seeds_keep_flows_and_leak_no_notes(seed: int) -> None:
    Walk(seed).run(300)
