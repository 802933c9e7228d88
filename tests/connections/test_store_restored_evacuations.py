"""Tests of evacuations that are ordered and taken back around a restore."""

from __future__ import annotations

from itertools import permutations

import attrs
import pytest

from siskinshift.connections.evacuation_reader import EvacuationReader
from siskinshift.connections.evacuations import HOLD_SECONDS
from siskinshift.connections.evacuations import MAX_DOMAINS
from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.evacuations import HeldEvacuations
from siskinshift.connections.evacuations import encode_evacuations
from siskinshift.connections.evacuations import evacuations_from_document
from siskinshift.connections.evacuations import merge
from siskinshift.control.documents import parse_object
from siskinshift.kv.generations import StorePosition
from siskinshift.kv.port import Entry
from siskinshift.kv.port import Snapshot
from siskinshift.kv.port import WatchBatch
from tests.connections.builders import quiet_log


def _set(*domains: str) -> frozenset[str]:
    return frozenset(domains)


class _Balancer:
    """A reader and a register; tests give what the store would answer."""

    def __init__(self) -> None:
        self.register = EvacuationRegister()
        self.reader = EvacuationReader(
            prefix="e/",
            decode_domain=lambda entry: entry.key[2:],
            on_evacuations=self.register.update,
            log=quiet_log(),
        )

    def read(self, generation: int, revision: int, **revisions: int) -> None:
        entries = [Entry(f"e/{d}", b"", r, generation) for d, r in revisions.items()]
        self.reader.apply_snapshot(Snapshot(tuple(entries), revision, generation))

    def see(
        self, generation: int, revision: int, *, put: str = "", end: str = ""
    ) -> None:
        entries = (Entry(f"e/{put}", b"", revision, generation),) if put else ()
        deleted = (f"e/{end}",) if end else ()
        assert self.reader.apply(WatchBatch(entries, deleted, revision, generation))

    @property
    def domains(self) -> str:
        return "".join(sorted(self.register.current.in_force))


def _exchange(*balancers: _Balancer) -> None:
    """Sends the state of each to all others, as heartbeats do."""
    for sender in balancers:
        for receiver in balancers:
            message = encode_evacuations(sender.register.current)
            receiver.register.update(evacuations_from_document(parse_object(message)))


def test_an_order_that_the_restore_lost_stays_in_force() -> None:
    """Guards against new flows in a domain whose order is not back yet."""
    balancer = _Balancer()
    balancer.read(1, 100)
    balancer.see(1, 120, put="a")

    balancer.read(2, 100)
    assert balancer.domains == "a"
    balancer.see(2, 101, put="a")
    assert balancer.domains == "a"
    balancer.see(2, 102, end="a")
    assert balancer.domains == ""


def test_an_end_that_the_restore_lost_stays_in_force() -> None:
    """Guards against a restored entry that evacuates a domain again."""
    balancer = _Balancer()
    balancer.read(1, 100, a=90)
    balancer.see(1, 120, end="a")

    balancer.read(2, 100, a=90)
    assert balancer.domains == ""
    balancer.see(2, 101, end="a")
    assert balancer.domains == ""
    balancer.see(2, 102, put="a")
    assert balancer.domains == "a"


def test_an_order_under_a_lower_revision_is_in_force() -> None:
    """Guards against orders that are ignored until the revision is reached again."""
    balancer = _Balancer()
    balancer.read(1, 5000)

    balancer.read(2, 100, b=99)
    balancer.see(2, 101, put="c")

    assert balancer.domains == "bc"


def test_an_order_written_before_the_first_read_is_in_force() -> None:
    """Guards against a new order that is taken for an entry of the copy."""
    balancer = _Balancer()
    balancer.read(1, 100, a=90)
    balancer.see(1, 110, end="a")

    balancer.read(2, 101, a=90, b=101)

    assert balancer.domains == "b"


def test_an_order_that_is_not_written_again_ends() -> None:
    """Guards against a domain that is evacuated for good by an order without entry."""
    balancer = _Balancer()
    balancer.read(1, 100)
    balancer.see(1, 120, put="a")
    balancer.read(2, 100)

    assert not balancer.register.settle(now=5.0)
    assert not balancer.register.settle(now=5.0 + HOLD_SECONDS - 0.1)
    assert balancer.register.settle(now=5.0 + HOLD_SECONDS)
    assert balancer.domains == ""


def test_an_order_that_ends_within_one_batch_is_not_held() -> None:
    """Guards against a hold of a domain that operators have decided since.

    The batch is read again, and the read does not show the order.
    """
    balancer = _Balancer()
    balancer.read(1, 100)
    balancer.see(1, 120, put="a")
    balancer.read(2, 100)
    batch = WatchBatch((Entry("e/a", b"", 101, 2),), ("e/a",), 102, 2)

    assert not balancer.reader.apply(batch)
    balancer.read(2, 102)

    assert balancer.domains == ""


def test_nodes_that_saw_different_parts_agree() -> None:
    """Guards against a fleet whose nodes hold different evacuations for good."""
    informed, outdated, started = _Balancer(), _Balancer(), _Balancer()
    for balancer in (informed, outdated):
        balancer.read(1, 100, b=90)
    informed.see(1, 120, put="a")
    informed.see(1, 121, end="b")
    started.read(2, 100, b=90)
    outdated.read(2, 100, b=90)
    informed.read(2, 101, b=90, c=101)

    _exchange(informed, outdated, started)
    _exchange(informed, outdated, started)
    # The node that has just started cannot tell whether b was ordered again.
    assert [b.domains for b in (informed, outdated, started)] == ["abc"] * 3
    informed.see(2, 102, end="b")
    _exchange(informed, outdated, started)
    assert [b.domains for b in (informed, outdated, started)] == ["ac"] * 3

    # The end of the hold reaches a node whose own time has not passed.
    informed.register.settle(now=0.0)
    informed.register.settle(now=HOLD_SECONDS)
    _exchange(informed, outdated, started)
    assert [b.domains for b in (informed, outdated, started)] == ["c"] * 3


def test_the_order_of_messages_does_not_matter() -> None:
    """Guards against a state that depends on which peer was heard first."""
    states = [
        Evacuations(100, _set("b"), 1),
        Evacuations(120, _set("a", "b"), 1, decided=_set("a")),
        Evacuations(90, _set("b"), 2),
        Evacuations(91, _set("b", "c"), 2, decided=_set("c")),
    ]
    merged = set()
    for order in permutations(states):
        state = Evacuations()
        for received in order:
            state = merge(state, received)
        merged.add(state)

    assert {state.in_force for state in merged} == {_set("a", "b", "c")}
    assert len(merged) == 1


def test_a_message_without_a_generation_is_valid_until_a_newer_one() -> None:
    """Guards against nodes of the previous version, which compare revisions alone."""
    register = EvacuationRegister()
    assert register.update(Evacuations(200, _set("a")))
    assert register.update(Evacuations(150, _set("b"), 3))

    assert not register.update(Evacuations(201, _set("a")))
    assert register.current.in_force == {"b"}


def test_a_node_of_the_previous_version_is_not_answered_endlessly() -> None:
    """Guards against two nodes that reply to each other without an end.

    A node of the previous version replies to every lower revision.
    """
    register = EvacuationRegister()
    register.update(Evacuations(150, _set("b"), 3))

    assert not register.supersedes(Evacuations(200, _set("a")))
    assert register.supersedes(Evacuations(149, _set("a")))


def test_the_previous_version_reads_the_domains_in_force() -> None:
    """Guards against a new field in place of the one that old nodes read."""
    register = EvacuationRegister()
    register.update(Evacuations(120, _set("a"), 1))
    register.update(Evacuations(100, _set("b"), 2))

    document = parse_object(encode_evacuations(register.current))

    assert (document["revision"], document["domains"]) == (100, ["a"])
    assert evacuations_from_document(document) == register.current


def test_a_store_without_the_header_sends_the_same_bytes() -> None:
    """Guards against a changed message in deployments without restores."""
    message = encode_evacuations(Evacuations(7, _set("b", "a")))

    assert message == b'{"revision":7,"domains":["a","b"]}'


@pytest.mark.parametrize("generations", [(1, 2, 3), (1, 3, 4)])
def test_two_restores_in_a_row_keep_the_order(generations: tuple[int, ...]) -> None:
    """Guards against a hold that a second restore within seconds forgets."""
    first, second, third = generations
    balancer = _Balancer()
    balancer.read(first, 100)
    balancer.see(first, 120, put="a")
    balancer.read(second, 100)
    balancer.read(third, 99)

    assert balancer.domains == "a"
    assert attrs.evolve(balancer.register.current, held=None).in_force == _set()


def test_merged_evacuations_fit_into_a_message() -> None:
    """Guards against a union of domains that all peers refuse."""
    first, second = (
        frozenset(f"{name}-{i:02}" for i in range(MAX_DOMAINS)) for name in "ab"
    )
    position = StorePosition(1, 100)
    merged = merge(
        Evacuations(5, second, 2, HeldEvacuations(position, first), second),
        Evacuations(5, first, 2, HeldEvacuations(position, second)),
    )
    overlapping = Evacuations(
        5, second, 2, HeldEvacuations(position, first), frozenset(["b-00"])
    )

    for state in (merged, overlapping):
        message = parse_object(encode_evacuations(state))
        assert evacuations_from_document(message) == state
        assert len(state.in_force) <= MAX_DOMAINS
    assert "b-00" in overlapping.in_force
