"""Tests of when a balancer requests a newer configuration from a peer."""

from __future__ import annotations

from siskinshift.connections.configuration_catch_up import FETCH_AFTER_SECONDS
from siskinshift.connections.configuration_catch_up import START_DELAY_SECONDS
from siskinshift.connections.configuration_catch_up import CatchUp


LONG_AGO = 0.0


def test_a_version_that_is_held_is_not_fetched() -> None:
    catch_up = CatchUp()

    assert not catch_up.is_due(
        announced=3, held=3, last_progress_at=LONG_AGO, now=100.0
    )
    assert not catch_up.is_due(
        announced=2, held=3, last_progress_at=LONG_AGO, now=200.0
    )


def test_a_starting_balancer_waits_for_its_own_read_to_begin() -> None:
    """Guards against fetching from a peer before the own read begins, on a slow link.

    Peers reply to the hello before the store responds. Both copies together took 1.09
    and 1.36 s instead of 0.75 s for one, so 0.35 s more delay for callers' first
    packets.
    """
    catch_up = CatchUp()

    assert not catch_up.is_due(
        announced=3, held=0, last_progress_at=LONG_AGO, now=100.0
    )
    later = 100.0 + START_DELAY_SECONDS
    assert catch_up.is_due(announced=3, held=0, last_progress_at=LONG_AGO, now=later)


def test_a_balancer_that_starts_without_the_store_fetches_at_once() -> None:
    """Guards against a delay in which no caller is served, as the store refuses all."""
    catch_up = CatchUp()

    assert catch_up.is_due(
        announced=3, held=0, last_progress_at=LONG_AGO, is_failing=True, now=100.0
    )


def test_a_starting_balancer_does_not_fetch_during_its_own_read() -> None:
    """Guards against a second copy while the own read is in progress on a slow link.

    Callers' first packets wait for the configuration and share the link with it.
    """
    catch_up = CatchUp()

    assert not catch_up.is_due(announced=3, held=0, last_progress_at=99.9, now=100.0)
    assert catch_up.is_due(announced=3, held=0, last_progress_at=99.9, now=100.5)


def test_each_newer_version_has_its_own_delay() -> None:
    """Guards against a fetch just before the own watch returns the change."""
    catch_up = CatchUp()
    assert not catch_up.is_due(
        announced=5, held=3, last_progress_at=LONG_AGO, now=100.0
    )

    assert not catch_up.is_due(
        announced=8, held=5, last_progress_at=LONG_AGO, now=200.0
    )
    later = 200.0 + FETCH_AFTER_SECONDS
    assert catch_up.is_due(announced=8, held=5, last_progress_at=LONG_AGO, now=later)
