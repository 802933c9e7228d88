"""Tests of the states and weights that an agent announces."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from hypothesis import given
from hypothesis import strategies as st

from siskinshift.agent.life_cycle import AgentLifeCycle
from siskinshift.agent.life_cycle import AnnouncedState
from siskinshift.core.members import FULL_WEIGHT
from siskinshift.messages.core import MemberState
from siskinshift.settings.loader import SettingsLoader
from tests.conftest import SETTINGS_TEXT


if TYPE_CHECKING:
    from siskinshift.settings.generated import FlowsSettings


def _settings() -> FlowsSettings:
    flows = SettingsLoader(source="test").load(SETTINGS_TEXT).flows
    return attrs.evolve(flows, ramp_duration=10.0, shift_duration=1.5)


def _announcements(
    life_cycle: AgentLifeCycle, start: float, end: float
) -> list[AnnouncedState]:
    times = [start + number / 20 for number in range(int((end - start) * 20) + 1)]
    states = [life_cycle.step(now=now, has_service=True) for now in times]
    return [state for state in states if state is not None]


def test_an_agent_without_its_service_is_not_ready() -> None:
    """Guards against an agent that becomes ready without services and peers.

    It starts while the store is unavailable. Balancers would send it packets of flows
    that peers own, and it would open new flows for them, so sessions would break.
    """
    life_cycle = AgentLifeCycle(_settings())

    assert life_cycle.step(now=100.0, has_service=False) is None
    assert life_cycle.step(now=100.1, has_service=True) == AnnouncedState(
        MemberState.READY, 125
    )


def test_the_weight_grows_in_bounded_steps() -> None:
    weights = [
        step.weight for step in _announcements(AgentLifeCycle(_settings()), 0.0, 11.0)
    ]

    assert weights == [125, 250, 500, FULL_WEIGHT]


@given(drained_at=st.floats(min_value=0.0, max_value=20.0))
def test_a_draining_agent_takes_no_new_flow_after_three_seconds(
    drained_at: float,
) -> None:
    life_cycle = AgentLifeCycle(_settings())
    _announcements(life_cycle, 0.0, drained_at)
    before = life_cycle.step(now=drained_at, has_service=True)
    life_cycle.drain(now=drained_at)

    steps = _announcements(life_cycle, drained_at, drained_at + 3.0)

    weights = [step.weight for step in [*([before] if before else []), *steps]]
    assert weights == sorted(weights, reverse=True)
    assert steps[-1] == AnnouncedState(MemberState.DRAINING, 0)
    assert life_cycle.redirects_callers(now=drained_at + 3.0)
    assert not life_cycle.redirects_callers(now=drained_at)
