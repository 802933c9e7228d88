"""Tests of bucket tables."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from siskinshift.bench.flow_network import make_agent
from siskinshift.routing.buckets import NO_PRIMARY
from siskinshift.routing.buckets import build_bucket_table


if TYPE_CHECKING:
    from siskinshift.messages.core import Member


AGENTS = st.dictionaries(
    st.integers(0, 12), st.sampled_from((1, 100, 500, 1000)), max_size=9
)


def _agents(weights_by_number: dict[int, int]) -> tuple[Member, ...]:
    return tuple(
        make_agent(f"agent-{n:02}", upstream_class="editor", incarnation=1, weight=w)
        for n, w in sorted(weights_by_number.items())
    )


@given(before=AGENTS, after=AGENTS)
def test_a_table_does_not_depend_on_the_previous_one(
    before: dict[int, int], after: dict[int, int]
) -> None:
    """Guards against balancers that disagree after changes in different orders."""
    previous = build_bucket_table(_agents(before))

    updated = build_bucket_table(_agents(after), previous)

    assert updated.primaries == build_bucket_table(_agents(after)).primaries


def test_only_buckets_of_the_removed_agent_move() -> None:
    before = build_bucket_table(_agents(dict.fromkeys(range(7), 1000)))
    after = build_bucket_table(_agents(dict.fromkeys(range(6), 1000)))

    for bucket in range(len(before.primaries)):
        old = before.primary_of(bucket)
        if old is not None and old.member_id != "agent-06":
            assert after.primary_of(bucket) == old


def test_buckets_are_proportional_to_weights() -> None:
    table = build_bucket_table(_agents({0: 1000, 1: 1000, 2: 500}))

    counts = Counter(table.primaries)

    assert 330 < counts[0] < 490
    assert 330 < counts[1] < 490
    assert 140 < counts[2] < 270


def test_without_agents_no_bucket_has_a_primary() -> None:
    table = build_bucket_table(())

    assert set(table.primaries) == {NO_PRIMARY}
    assert table.primary_of(0) is None
