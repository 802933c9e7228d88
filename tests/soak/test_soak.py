"""Short seeded soaks for CI; `make soak` runs longer ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.soak.soak import Soak


if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize("seed", [1, 2])
def test_guarantees_hold_under_a_series_of_faults(seed: int, tmp_path: Path) -> None:
    outcome = Soak(seed, seconds=8.0, folder=tmp_path).run()

    assert outcome.violations == []
    assert outcome.answered > 0
    assert outcome.timeline
