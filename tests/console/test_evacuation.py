"""Tests of the warning about a failure domain without instances."""

from __future__ import annotations

import attrs

from siskinshift.console.commands.evacuation import warning_about_domain
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from tests.load.builders import an_agent


HERE = attrs.evolve(an_agent("here"), failure_domain="fd-2")
THERE = attrs.evolve(an_agent("there"), failure_domain="fd-1")


def test_a_domain_with_an_instance_gives_no_warning() -> None:
    assert warning_about_domain("fd-1", [HERE, THERE]) == ""


def test_a_domain_without_instances_gives_a_warning_that_names_the_others() -> None:
    """Guards against a misspelt domain that is accepted without a word."""
    assert warning_about_domain("fd-l", [HERE, THERE]) == (
        "no upstream instance is in failure domain fd-l;"
        " domains with upstream instances: fd-1, fd-2"
    )


def test_a_domain_whose_instances_are_gone_counts_as_without() -> None:
    gone = attrs.evolve(THERE, state=MemberState.GONE)

    assert "domains with upstream instances: fd-2" in warning_about_domain(
        "fd-1", [HERE, gone]
    )


def test_a_domain_with_balancers_alone_counts_as_without() -> None:
    """Guards against a misspelt domain that has balancers but no upstreams."""
    balancer = attrs.evolve(THERE, role=Role.BALANCER)

    assert "domains with upstream instances: fd-2" in warning_about_domain(
        "fd-1", [HERE, balancer]
    )
