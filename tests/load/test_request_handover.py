"""Tests of the request handover with late, lost or duplicate messages and crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import CancelAtUpstream
from siskinshift.core.requests import FailRequest
from siskinshift.core.requests import RefuseRequest
from siskinshift.core.requests import ReleaseAtPeer
from siskinshift.core.requests import ReplyToReservation
from siskinshift.core.requests import ReserveAtPeer
from siskinshift.core.requests import RunAtPeer
from siskinshift.core.requests import RunResult
from siskinshift.core.requests import StartRequest
from siskinshift.messages.load import ReserveSlot
from tests.load.builders import FAILURE_DOMAIN
from tests.load.builders import SERVICE
from tests.load.builders import a_gate
from tests.load.builders import a_request
from tests.load.builders import a_service


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction
    from siskinshift.load.gate import LoadGate
    from siskinshift.messages.core import Service


def a_reserve_request(
    reservation_id: str = "a/1", *, wait: float = 0.0, deadline_in: float = 30.0
) -> ReserveSlot:
    return ReserveSlot(
        reservation_id=reservation_id,
        sender_id="a",
        service_id=SERVICE,
        group_id="north",
        caller="10.0.0.1",
        wait=wait,
        deadline_in=deadline_in,
    )


def a_busy_gate() -> tuple[LoadGate, ReserveAtPeer]:
    """Makes a gate with a running request and a queued one that has a reservation."""
    gate = a_gate("a", peers=("b", "c"))
    gate.submit(a_request(1), now=0.0)
    (reservation,) = gate.submit(a_request(2), now=0.0)
    assert isinstance(reservation, ReserveAtPeer)
    return gate, reservation


def reply(
    gate: LoadGate, reservation: ReserveAtPeer, *, granted: bool, now: float = 0.01
) -> list[GateAction]:
    return gate.handle_reservation_reply(
        reservation.request_id,
        peer_id=reservation.peer_id,
        reservation_id=reservation.reservation_id,
        granted=granted,
        now=now,
    )


def test_a_queued_request_runs_at_the_peer_that_holds_a_slot() -> None:
    gate, reservation = a_busy_gate()

    actions = reply(gate, reservation, granted=True)

    assert actions == [RunAtPeer(2, reservation.peer_id, reservation.reservation_id)]
    result = RunResult.ANSWERED
    assert gate.finished(2, succeeded=True, now=0.1, result=result) == []
    assert gate.pending_count == 1


def test_the_other_candidate_is_queried_when_the_first_refuses() -> None:
    gate, first = a_busy_gate()

    (second,) = reply(gate, first, granted=False)

    assert isinstance(second, ReserveAtPeer)
    assert {first.peer_id, second.peer_id} == {"b", "c"}
    assert reply(gate, second, granted=False) == []
    # Both were full, so the next search waits for the pause.
    assert gate.tick(now=0.011) == []


def test_a_request_that_started_here_releases_its_reservation() -> None:
    """Guards against a peer's slot held for a request that runs elsewhere.

    The own slot becomes free while the reservation is in transit; the grant is late.
    """
    gate, reservation = a_busy_gate()

    actions = gate.finished(1, succeeded=True, now=0.005)

    release = ReleaseAtPeer(reservation.peer_id, reservation.reservation_id)
    assert actions == [release, StartRequest(2)]
    assert reply(gate, reservation, granted=True) == [release]


def test_a_duplicate_grant_runs_the_request_once() -> None:
    """Guards against a request that runs at the peer twice.

    The peer's grant is delivered a second time, after the run was offered.
    """
    gate, reservation = a_busy_gate()
    reply(gate, reservation, granted=True)

    again = reply(gate, reservation, granted=True)

    assert not any(isinstance(action, RunAtPeer | StartRequest) for action in again)


def test_a_refusal_after_the_grant_is_ignored() -> None:
    gate, reservation = a_busy_gate()
    reply(gate, reservation, granted=True)

    assert reply(gate, reservation, granted=False) == []


def test_a_request_is_queued_again_if_the_peer_crashed_before_the_run() -> None:
    """Guards against a lost request and against a wrong reply "may have run".

    The peer grants a slot and crashes; its host refuses the connection for the run, so
    no byte was offered. The request is queued again and runs here.
    """
    gate, reservation = a_busy_gate()
    reply(gate, reservation, granted=True)

    gate.finished(2, succeeded=False, now=0.02, result=RunResult.NOT_OFFERED)

    assert StartRequest(2) in gate.finished(1, succeeded=True, now=0.1)


def test_a_reply_lost_after_the_run_makes_the_outcome_unknown() -> None:
    """Guards against a second run of a request that is not repeatable.

    The peer runs it and the reply is lost, so it is unknown whether it ran.
    """
    gate, reservation = a_busy_gate()
    reply(gate, reservation, granted=True)

    actions = gate.finished(2, succeeded=False, now=0.2, result=RunResult.LOST)

    assert actions == [FailRequest(2, ErrorKind.UPSTREAM_FAILED)]
    assert gate.finished(1, succeeded=True, now=0.3) == []


def test_a_deadline_that_passes_before_the_grant_refuses_and_releases() -> None:
    gate = a_gate("a", peers=("b", "c"))
    gate.submit(a_request(1), now=0.0)
    (reservation,) = gate.submit(a_request(2, deadline=0.2), now=0.0)
    assert isinstance(reservation, ReserveAtPeer)

    refusal, release = reply(gate, reservation, granted=True, now=0.25)

    assert isinstance(refusal, RefuseRequest)
    assert refusal.error is ErrorKind.DEADLINE_EXCEEDED
    assert release == ReleaseAtPeer(reservation.peer_id, reservation.reservation_id)


def test_a_cancel_before_the_grant_refuses_and_releases_the_reservation() -> None:
    gate, reservation = a_busy_gate()

    release, refusal = gate.cancel(2, now=0.005)

    assert release == ReleaseAtPeer(reservation.peer_id, reservation.reservation_id)
    assert isinstance(refusal, RefuseRequest)
    assert reply(gate, reservation, granted=True) == [release]


def test_a_cancel_after_the_run_was_offered_is_sent_to_the_peer() -> None:
    gate, reservation = a_busy_gate()
    reply(gate, reservation, granted=True)

    assert gate.cancel(2, now=0.02) == [CancelAtUpstream(2)]
    actions = gate.finished(2, succeeded=False, now=0.03, result=RunResult.LOST)
    assert actions == [FailRequest(2, ErrorKind.CANCELLED_RUNNING)]


def test_a_retried_request_is_never_handed_over() -> None:
    gate = a_gate("a", peers=("b", "c"))
    gate.submit(a_request(1, repeatable=True), now=0.0)
    gate.finished(1, succeeded=False, now=0.1, result=RunResult.LOST)
    gate.submit(a_request(2), now=0.1)

    actions = gate.tick(now=0.9)

    assert not any(isinstance(action, ReserveAtPeer) for action in actions)


def test_a_stream_is_never_handed_over() -> None:
    gate = a_gate("a", peers=("b", "c"))
    gate.submit(a_request(1), now=0.0)

    assert gate.submit(a_request(2, pinned=True), now=0.0) == []


def test_a_reservation_is_used_once() -> None:
    """Guards against a request that runs twice.

    The message that offers it is delivered twice: a client repeats it after a kept
    connection broke, or an old message is late.
    """
    gate = a_gate("b", slots=2)
    assert gate.reserve(a_reserve_request(), now=0.0) == [
        ReplyToReservation("a/1", True)
    ]

    assert gate.start_reserved("a/1", now=0.001)
    assert not gate.start_reserved("a/1", now=0.002)
    gate.peer_request_finished("a/1", RunResult.ANSWERED, now=0.1)
    assert not gate.start_reserved("a/1", now=0.2)
    assert gate.reserve(a_reserve_request(), now=0.3) == [
        ReplyToReservation("a/1", False)
    ]
    assert gate.slots_in_use == 0


def test_a_reserve_request_that_arrives_after_its_release_holds_no_slot() -> None:
    """Guards against a slot that stays unused until its reservation times out.

    Two messages of one agent use different connections and are reordered.
    """
    gate = a_gate("b")
    gate.release("a/1", now=0.0)

    assert gate.reserve(a_reserve_request(), now=0.001) == [
        ReplyToReservation("a/1", False)
    ]
    assert gate.slots_in_use == 0


def test_a_slot_is_not_held_for_an_agent_that_crashed() -> None:
    """Guards against a slot that is lost forever.

    An agent reserves a slot and crashes before it sends the request. If its message
    still arrives after the slot was reassigned, the reply is that it did not run.
    """
    gate = a_gate("b")
    gate.reserve(a_reserve_request(), now=0.0)
    gate.submit(a_request(1), now=0.1)
    assert gate.slots_in_use == 1

    actions = gate.tick(now=0.3)

    assert actions == [StartRequest(1)]
    assert not gate.start_reserved("a/1", now=0.31)


def test_a_queued_reservation_gets_the_next_slot_or_is_refused_at_expiry() -> None:
    gate = a_gate("b")
    gate.submit(a_request(1), now=0.0)
    assert gate.reserve(a_reserve_request("a/1", wait=0.05), now=0.0) == []
    assert gate.tick(now=0.06) == [ReplyToReservation("a/1", False)]
    assert gate.reserve(a_reserve_request("a/2", wait=0.05), now=0.1) == []

    actions = gate.finished(1, succeeded=True, now=0.12)

    assert actions == [ReplyToReservation("a/2", True)]


def test_a_reserve_request_does_not_overtake_own_queued_requests() -> None:
    gate = a_gate("b")
    gate.submit(a_request(1), now=0.0)
    gate.submit(a_request(2), now=0.0)

    for wait in (0.0, 0.05):
        (refusal,) = gate.reserve(a_reserve_request(f"a/{wait}", wait=wait), now=0.0)
        assert refusal == ReplyToReservation(f"a/{wait}", False)


def test_a_draining_agent_accepts_no_requests_of_peers() -> None:
    gate = a_gate("b")
    gate.submit(a_request(1), now=0.0)
    gate.reserve(a_reserve_request("a/1", wait=0.05), now=0.0)

    assert gate.refuse_peer_requests(now=0.01) == [ReplyToReservation("a/1", False)]
    assert gate.reserve(a_reserve_request("a/2"), now=0.2) == [
        ReplyToReservation("a/2", False)
    ]


def test_an_agent_that_operators_drain_gets_no_requests_of_peers() -> None:
    """Guards against requests to an upstream that is about to be stopped.

    Operators drain by configuration, so the member's state stays READY and a peer
    without a free slot queries it.
    """
    service = attrs.evolve(a_service(), drained=("b",))
    _assert_no_requests_of_peers(service)


def test_an_agent_of_an_evacuated_domain_gets_no_requests_of_peers() -> None:
    """Guards against requests that reach an evacuated domain through its peers."""
    service = attrs.evolve(a_service(), evacuated=(FAILURE_DOMAIN,))
    _assert_no_requests_of_peers(service)


def _assert_no_requests_of_peers(service: Service) -> None:
    drained = a_gate("b", peers=("a",), services=(service,))
    peer = a_gate("a", peers=("b",), services=(service,))
    peer.submit(a_request(1), now=0.0)

    assert drained.reserve(a_reserve_request(), now=0.0) == [
        ReplyToReservation("a/1", False)
    ]
    assert peer.submit(a_request(2), now=0.0) == []
