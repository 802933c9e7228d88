"""Tests of the states and weights that an agent announces."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from hypothesis import given
from hypothesis import strategies as st

from siskinshift.agent.life import AgentLife
from siskinshift.agent.life import LifeStep
from siskinshift.core.members import FULL_WEIGHT
from siskinshift.messages.core import MemberState
from siskinshift.settings.loader import SettingsLoader
from tests.conftest import SETTINGS_TEXT


if TYPE_CHECKING:
    from siskinshift.settings.generated import FlowsSettings


def _settings() -> FlowsSettings:
    flows = SettingsLoader(source="test").load(SETTINGS_TEXT).flows
    return attrs.evolve(flows, ramp_duration=10.0, shift_duration=1.5)


def _steps(life: AgentLife, start: float, end: float) -> list[LifeStep]:
    times = [start + number / 20 for number in range(int((end - start) * 20) + 1)]
    steps = [life.step(now=now, knows_service=True) for now in times]
    return [step for step in steps if step is not None]


def test_an_agent_without_its_service_takes_no_flow() -> None:
    """Guards against flows taken blind.

    An agent starts while the store is away and knows no service and no peer. If it
    became ready, balancers would send it packets of flows that peers own, and it
    would make new flows of them: sessions would break.
    """
    life = AgentLife(_settings())

    assert life.step(now=100.0, knows_service=False) is None
    assert life.step(now=100.1, knows_service=True) == LifeStep(MemberState.READY, 125)


def test_the_weight_grows_in_bounded_steps() -> None:
    weights = [step.weight for step in _steps(AgentLife(_settings()), 0.0, 11.0)]

    assert weights == [125, 250, 500, FULL_WEIGHT]


@given(drained_at=st.floats(min_value=0.0, max_value=20.0))
def test_a_draining_agent_takes_no_new_flow_after_three_seconds(
    drained_at: float,
) -> None:
    life = AgentLife(_settings())
    _steps(life, 0.0, drained_at)
    before = life.step(now=drained_at, knows_service=True)
    life.drain(now=drained_at)

    steps = _steps(life, drained_at, drained_at + 3.0)

    weights = [step.weight for step in [*([before] if before else []), *steps]]
    assert weights == sorted(weights, reverse=True)
    assert steps[-1] == LifeStep(MemberState.DRAINING, 0)
    assert life.sends_callers_away(now=drained_at + 3.0)
    assert not life.sends_callers_away(now=drained_at)
