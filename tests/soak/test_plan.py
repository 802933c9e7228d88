"""Tests of what a seed of the soak decides."""

from __future__ import annotations

import os
import subprocess
import sys

from tests.soak.faults import KINDS
from tests.soak.plan import draw_plan


PRINT_PLAN = """
from tests.soak.faults import KINDS
from tests.soak.plan import draw_plan
for step in draw_plan(tuple(KINDS), seed=71001, seconds=60.0):
    print(repr(step))
"""


def _plan_of_another_process(hash_seed: str) -> str:
    environment = os.environ | {
        "PYTHONHASHSEED": hash_seed,
        "PYTHONPATH": os.pathsep.join(sys.path),
    }
    return subprocess.check_output(
        [sys.executable, "-c", PRINT_PLAN], env=environment, text=True
    )


def test_a_seed_draws_the_same_timeline_in_every_process() -> None:
    """A soak fails, and somebody plays its seed again to see why.

    Python draws its hash of bytes and texts anew in each process; a timeline that
    rests on it, or on how long things took, would be another one.
    """
    first = _plan_of_another_process("1")

    assert first == _plan_of_another_process("2")
    assert first.count("Step(") > 10


def test_a_timeline_has_the_length_that_was_asked_for() -> None:
    plan = draw_plan(tuple(KINDS), seed=3, seconds=20.0)

    length = sum(step.seconds + step.pause for step in plan)
    assert length >= 20.0
    assert length - (plan[-1].seconds + plan[-1].pause) < 20.0


def test_each_kind_of_fault_comes_and_names_its_targets() -> None:
    plan = draw_plan(tuple(KINDS), seed=1, seconds=2000.0)
    kinds_by_name = {kind.name: kind for kind in KINDS}

    assert {step.kind for step in plan} == set(kinds_by_name)
    for step in plan:
        kind = kinds_by_name[step.kind]
        assert set(step.targets) <= set(kind.targets)
        assert len(set(step.targets)) == len(step.targets)
        assert step.variant in kind.variants
