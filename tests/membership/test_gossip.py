"""Tests of the updates that a balancer sends to its neighbours."""

from __future__ import annotations

from random import Random

from siskinshift.membership.gossip import BATCH_DELAY_SECONDS
from siskinshift.membership.gossip import RECENT_UPDATE_SECONDS
from siskinshift.membership.gossip import Gossip
from siskinshift.membership.gossip import RecordKey
from siskinshift.messages.core import Endpoint


FIRST_NEIGHBOUR = Endpoint("10.0.0.1", 7000)
SECOND_NEIGHBOUR = Endpoint("10.0.0.2", 7000)
AGENT = RecordKey(False, "a-1")
SERVICE = RecordKey(True, "editor")


def linked_gossip(*endpoints: Endpoint) -> Gossip:
    gossip = Gossip(Random(1))
    gossip.set_neighbours(endpoints, now=0.0)
    return gossip


def test_a_new_neighbour_is_sent_recent_updates() -> None:
    # Some balancers lacked peers for a minute after all had started. Updates that
    # arrived before the links existed were pending for no neighbour, and only the
    # slow comparison repaired that.
    gossip = linked_gossip()
    gossip.add(AGENT, received_from=None, now=1.0)

    gossip.set_neighbours([FIRST_NEIGHBOUR], now=2.0)

    assert [batch.keys for batch in gossip.due(2.1)] == [(AGENT,)]


def test_old_updates_are_left_to_the_comparison() -> None:
    gossip = linked_gossip()
    gossip.add(AGENT, received_from=None, now=1.0)

    gossip.set_neighbours([FIRST_NEIGHBOUR], now=1.0 + RECENT_UPDATE_SECONDS + 1.0)

    assert gossip.due(20.0) == []


def test_an_update_is_not_sent_back_to_its_sender() -> None:
    gossip = linked_gossip(FIRST_NEIGHBOUR, SECOND_NEIGHBOUR)

    gossip.add(AGENT, received_from=FIRST_NEIGHBOUR, now=1.0)

    batches = gossip.due(1.0 + BATCH_DELAY_SECONDS)
    assert [batch.endpoint for batch in batches] == [SECOND_NEIGHBOUR]


def test_a_batch_without_reply_is_sent_again() -> None:
    gossip = linked_gossip(FIRST_NEIGHBOUR)
    gossip.add(AGENT, received_from=None, now=1.0)
    gossip.due(1.1)

    gossip.on_failure(FIRST_NEIGHBOUR, now=1.35)

    assert gossip.due(1.35) == []
    assert [batch.keys for batch in gossip.due(1.5)] == [(AGENT,)]


def test_a_flood_is_paced_and_services_are_sent_first() -> None:
    # An operator removes a faulty service while a fleet restarts. In order of arrival
    # the change would wait behind thousands of members; without pacing they exceed
    # the budget.
    gossip = linked_gossip(FIRST_NEIGHBOUR)
    for number in range(5000):
        gossip.add(RecordKey(False, f"a-{number}"), received_from=None, now=1.0)
    sent = 0
    now = 1.0
    while now < 11.0:
        for batch in gossip.due(now):
            sent += len(batch.keys)
            gossip.on_reply(batch.endpoint, now=now)
        now += 0.02

    gossip.add(SERVICE, received_from=None, now=now)
    now += 2 * BATCH_DELAY_SECONDS

    assert sent <= 400 + 10 * 200
    assert SERVICE in gossip.due(now)[0].keys
