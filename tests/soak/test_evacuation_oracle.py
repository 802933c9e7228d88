"""Tests of what the soak forbids while a domain is evacuated."""

from __future__ import annotations

from tests.soak.evacuation_oracle import EvacuationOracle


def _oracle() -> EvacuationOracle:
    oracle = EvacuationOracle()
    oracle.begin(now=10.0)
    oracle.end(now=30.0)
    return oracle


def test_openings_are_forbidden_once_the_order_must_be_in_force() -> None:
    assert _oracle().broken_by([9.0, 14.9, 15.1, 29.9, 30.1]) == [15.1, 29.9]


def test_an_order_that_is_repeated_begins_once() -> None:
    oracle = EvacuationOracle()
    oracle.begin(now=10.0)
    oracle.begin(now=14.0)
    oracle.end(now=30.0)
    oracle.end(now=40.0)

    assert oracle.broken_by([16.0, 35.0]) == [16.0]


def test_troubles_of_the_store_excuse_and_killed_nodes_do_not() -> None:
    oracle = _oracle()
    oracle.disturb("kill", 14.0, 16.0)
    oracle.disturb("refuse", 20.0, 21.0)

    assert oracle.broken_by([16.0, 19.9, 20.5, 25.9, 26.1]) == [16.0, 19.9, 26.1]
