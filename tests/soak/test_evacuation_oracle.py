"""Tests of the check that evacuated upstreams receive no opening packets."""

from __future__ import annotations

from tests.soak.evacuation_oracle import EvacuationOracle
from tests.soak.store_faults import StoreFaults


def _oracle(faults: StoreFaults | None = None) -> EvacuationOracle:
    oracle = EvacuationOracle(faults or StoreFaults())
    oracle.record_start(now=10.0)
    oracle.record_end(now=30.0)
    return oracle


def test_openings_are_violations_while_an_evacuation_is_in_force() -> None:
    assert _oracle().find_violations([9.0, 14.9, 15.1, 29.9, 30.1]) == [15.1, 29.9]


def test_a_repeated_evacuation_starts_at_its_first_request() -> None:
    oracle = EvacuationOracle(StoreFaults())
    oracle.record_start(now=10.0)
    oracle.record_start(now=14.0)
    oracle.record_end(now=30.0)
    oracle.record_end(now=40.0)

    assert oracle.find_violations([16.0, 35.0]) == [16.0]


def test_only_faults_of_the_store_excuse_openings() -> None:
    faults = StoreFaults()
    oracle = _oracle(faults)
    faults.record("kill", 14.0, 16.0)
    faults.record("refuse", 20.0, 21.0)

    assert oracle.find_violations([16.0, 19.9, 20.5, 25.9, 26.1]) == [16.0, 19.9, 26.1]
