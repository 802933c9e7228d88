"""Tests of the timelines that the soak draws from its seeds."""

from __future__ import annotations

import os
import subprocess
import sys

from tests.soak.faults import FAULT_KINDS
from tests.soak.plan import draw_plan


PRINT_PLAN = """
from tests.soak.faults import FAULT_KINDS
from tests.soak.plan import draw_plan
for step in draw_plan(tuple(FAULT_KINDS), seed=71001, seconds=60.0):
    print(repr(step))
"""


def _print_plan_in_new_process(hash_seed: str) -> str:
    environment = os.environ | {
        "PYTHONHASHSEED": hash_seed,
        "PYTHONPATH": os.pathsep.join(sys.path),
    }
    return subprocess.check_output(
        [sys.executable, "-c", PRINT_PLAN], env=environment, text=True
    )


def test_a_seed_draws_the_same_timeline_in_every_process() -> None:
    """Guards against a failed soak that its seed does not reproduce.

    Python randomizes its hash of bytes and strings per process, so a timeline that
    depends on it, or on elapsed time, would differ between runs.
    """
    first = _print_plan_in_new_process("1")

    assert first == _print_plan_in_new_process("2")
    assert first.count("Step(") > 10


def test_a_timeline_has_the_requested_length() -> None:
    plan = draw_plan(tuple(FAULT_KINDS), seed=3, seconds=20.0)

    length = sum(step.duration_seconds + step.pause_seconds for step in plan)
    assert length >= 20.0
    assert length - (plan[-1].duration_seconds + plan[-1].pause_seconds) < 20.0


def test_each_kind_of_fault_is_drawn_with_valid_parameters() -> None:
    plan = draw_plan(tuple(FAULT_KINDS), seed=1, seconds=2000.0)
    kinds_by_name = {kind.name: kind for kind in FAULT_KINDS}

    assert {step.kind for step in plan} == set(kinds_by_name)
    for step in plan:
        kind = kinds_by_name[step.kind]
        assert set(step.targets) <= set(kind.targets)
        assert len(set(step.targets)) == len(step.targets)
        assert step.variant in kind.variants
