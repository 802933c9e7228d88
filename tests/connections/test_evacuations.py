"""Tests of the evacuations that a node holds, and of their encoding."""

from __future__ import annotations

from typing import Any

import pytest

from siskinshift.connections.evacuations import MAX_DOMAINS
from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.evacuations import encode_evacuations
from siskinshift.connections.evacuations import evacuations_from_document
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError


NONE = Evacuations()
A_EVACUATED = Evacuations(10, frozenset({"a"}))
EVACUATION_ENDED = Evacuations(20, frozenset())


def test_an_older_revision_changes_nothing() -> None:
    """Guards against a late message that evacuates a domain again."""
    register = EvacuationRegister()

    assert register.update(A_EVACUATED)
    assert register.is_evacuated("a")
    assert register.update(EVACUATION_ENDED)
    assert not register.update(A_EVACUATED)
    assert not register.is_evacuated("a")
    assert register.changed_domains == {"a"}


def test_evacuations_of_several_domains_end_one_by_one() -> None:
    register = EvacuationRegister()
    register.update(Evacuations(3, frozenset({"a", "b", "c"})))
    register.update(Evacuations(4, frozenset({"a", "c"})))

    assert [d for d in "abc" if register.is_evacuated(d)] == ["a", "c"]
    assert register.changed_domains == {"a", "b", "c"}


def test_a_newer_revision_with_the_same_domains_is_no_change() -> None:
    register = EvacuationRegister()
    register.update(A_EVACUATED)

    assert not register.update(Evacuations(30, A_EVACUATED.domains))
    assert register.current.revision == 30


@pytest.mark.parametrize(
    ("held", "expected"),
    [
        (NONE, True),
        (EVACUATION_ENDED, False),
        (Evacuations(9, A_EVACUATED.domains), False),
        (Evacuations(9, frozenset({"a", "b"})), True),
    ],
)
def test_only_an_outdated_and_different_peer_is_superseded(
    held: Evacuations, expected: bool
) -> None:
    register = EvacuationRegister()
    register.update(A_EVACUATED)

    assert register.supersedes(held) is expected


def test_unknown_fields_are_ignored() -> None:
    """Guards against a rolling upgrade in which newer nodes add a field."""
    document = parse_object(encode_evacuations(A_EVACUATED))

    assert evacuations_from_document(document | {"reason": "later"}) == A_EVACUATED


@pytest.mark.parametrize(
    "wrong",
    [
        {},
        {"revision": 1},
        {"revision": "1", "domains": []},
        {"revision": -1, "domains": []},
        {"revision": True, "domains": []},
        {"revision": 1, "domains": "a"},
        {"revision": 1, "domains": [7]},
        {"revision": 1, "domains": [""]},
        {"revision": 1, "domains": ["a\n"]},
        {"revision": 1, "domains": ["a" * 101]},
        {"revision": 1, "domains": ["a"] * (MAX_DOMAINS + 1)},
    ],
)
def test_an_invalid_document_is_refused(wrong: dict[str, Any]) -> None:
    with pytest.raises(BadMessageError):
        evacuations_from_document(wrong)
