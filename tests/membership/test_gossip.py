"""What a balancer owes its neighbours."""

from __future__ import annotations

from random import Random

from siskinshift.membership.gossip import GATHER_SECONDS
from siskinshift.membership.gossip import RECENT_SECONDS
from siskinshift.membership.gossip import Gossip
from siskinshift.membership.gossip import NewsKey
from siskinshift.messages.core import Endpoint


NEAR = Endpoint("10.0.0.1", 7000)
FAR = Endpoint("10.0.0.2", 7000)
AGENT = NewsKey(False, "a-1")
SERVICE = NewsKey(True, "editor")


def linked_gossip(*endpoints: Endpoint) -> Gossip:
    gossip = Gossip(Random(1))
    gossip.link_to(endpoints, now=0.0)
    return gossip


def test_a_new_neighbour_is_owed_what_passed_before_the_link() -> None:
    # Some balancers knew nothing of others for a minute after all had started.
    # News came in before the links were worked out and was owed to nobody; only the
    # slow comparison brought it.
    gossip = linked_gossip()
    gossip.add(AGENT, heard_from=None, now=1.0)

    gossip.link_to([NEAR], now=2.0)

    assert [batch.keys for batch in gossip.due(2.1)] == [(AGENT,)]


def test_old_news_is_left_to_the_comparison() -> None:
    gossip = linked_gossip()
    gossip.add(AGENT, heard_from=None, now=1.0)

    gossip.link_to([NEAR], now=1.0 + RECENT_SECONDS + 1.0)

    assert gossip.due(20.0) == []


def test_news_is_not_told_to_whom_it_came_from() -> None:
    gossip = linked_gossip(NEAR, FAR)

    gossip.add(AGENT, heard_from=NEAR, now=1.0)

    batches = gossip.due(1.0 + GATHER_SECONDS)
    assert [batch.endpoint for batch in batches] == [FAR]


def test_a_batch_without_answer_is_owed_again() -> None:
    gossip = linked_gossip(NEAR)
    gossip.add(AGENT, heard_from=None, now=1.0)
    gossip.due(1.1)

    gossip.on_failure(NEAR, now=1.35)

    assert gossip.due(1.35) == []
    assert [batch.keys for batch in gossip.due(1.5)] == [(AGENT,)]


def test_a_flood_is_paced_and_services_go_first() -> None:
    # A fleet restarts and an operator takes a faulty service out. Sent in order the
    # change would wait behind thousands of members; unpaced they break the budget.
    gossip = linked_gossip(NEAR)
    for number in range(5000):
        gossip.add(NewsKey(False, f"a-{number}"), heard_from=None, now=1.0)
    sent = 0
    now = 1.0
    while now < 11.0:
        for batch in gossip.due(now):
            sent += len(batch.keys)
            gossip.on_reply(batch.endpoint, now=now)
        now += 0.02

    gossip.add(SERVICE, heard_from=None, now=now)
    now += 2 * GATHER_SECONDS

    assert sent <= 400 + 10 * 200
    assert SERVICE in gossip.due(now)[0].keys
