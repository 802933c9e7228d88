"""Tests of how evacuations are extracted from reads and watches of the store."""

from __future__ import annotations

import pytest

from siskinshift.connections.evacuation_reader import EvacuationReader
from siskinshift.connections.evacuations import MAX_DOMAINS
from siskinshift.connections.evacuations import Evacuations
from siskinshift.kv.port import Entry
from siskinshift.kv.port import Snapshot
from siskinshift.kv.port import WatchBatch
from siskinshift.platform.evacuations import EVACUATIONS_PREFIX
from siskinshift.platform.evacuations import decode_evacuated_domain
from tests.connections.builders import quiet_log


def _entry(domain: str, *, value: bytes = b"{}", revision: int = 1) -> Entry:
    return Entry(EVACUATIONS_PREFIX + domain, value, revision)


class _Reader(EvacuationReader):
    """A reader that records the evacuations that it published."""

    def __init__(self) -> None:
        self.published: list[Evacuations] = []
        super().__init__(
            prefix=EVACUATIONS_PREFIX,
            decode_domain=decode_evacuated_domain,
            on_evacuations=self.published.append,
            log=quiet_log(),
        )

    @property
    def domains(self) -> set[str]:
        """Currently evacuated domains."""
        return set(self.published[-1].domains)


@pytest.fixture
def reader() -> _Reader:
    return _Reader()


def test_a_read_replaces_all_entries(reader: _Reader) -> None:
    """Guards against keeping an evacuation that ended during an outage of the store."""
    reader.apply_snapshot(Snapshot((_entry("a"), _entry("b")), 5))
    reader.apply_snapshot(Snapshot((Entry("op/config", b"{}", 7), _entry("b")), 9))

    assert reader.published[-1] == Evacuations(9, frozenset({"b"}))


def test_changes_are_applied_one_by_one(reader: _Reader) -> None:
    reader.apply_snapshot(Snapshot((), 5))
    assert reader.apply(WatchBatch((_entry("a"), _entry("b")), (), 7))
    assert reader.domains == {"a", "b"}
    assert reader.apply(WatchBatch((), (EVACUATIONS_PREFIX + "a",), 8))
    assert reader.published[-1] == Evacuations(8, frozenset({"b"}))


def test_a_change_of_the_configuration_publishes_nothing(reader: _Reader) -> None:
    reader.apply_snapshot(Snapshot((), 5))
    assert reader.apply(WatchBatch((Entry("op/config", b"{}", 6),), (), 6))

    assert len(reader.published) == 1


def test_a_batch_with_write_and_removal_of_a_domain_is_not_applied(
    reader: _Reader,
) -> None:
    """Guards against a batch in which the order of write and removal is unknown."""
    reader.apply_snapshot(Snapshot((_entry("a"),), 5))

    assert not reader.apply(WatchBatch((_entry("a"),), (EVACUATIONS_PREFIX + "a",), 8))
    assert reader.domains == {"a"}


@pytest.mark.parametrize(
    "bad",
    [
        _entry("a", value=b"\xff"),
        _entry("a", value=b"[]"),
        _entry(""),
        _entry("a/b"),
        _entry("a" * 101),
        _entry("\u0007"),
    ],
)
def test_an_invalid_entry_evacuates_no_domain(reader: _Reader, bad: Entry) -> None:
    """Guards against a foreign key that would evacuate, or hide, a domain."""
    reader.apply_snapshot(Snapshot((bad, _entry("c")), 5))
    assert reader.domains == {"c"}
    assert reader.apply(WatchBatch((bad,), (), 6))
    assert reader.domains == {"c"}


def test_domains_beyond_the_limit_of_a_message_are_dropped(reader: _Reader) -> None:
    entries = tuple(_entry(f"d-{n:03}") for n in range(MAX_DOMAINS + 5))
    reader.apply_snapshot(Snapshot(entries, 5))

    assert len(reader.domains) == MAX_DOMAINS
    assert "d-000" in reader.domains
