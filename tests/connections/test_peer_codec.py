"""Tests of the encoding of datagrams between nodes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies

from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_codec import encode_evacuations_message
from siskinshift.connections.peer_codec import encode_forward
from siskinshift.connections.peer_codec import encode_known_hosts
from siskinshift.connections.peer_codec import encode_owner_query
from siskinshift.connections.peer_codec import encode_ownership_announcement
from siskinshift.connections.peer_codec import encode_peer_heartbeat
from siskinshift.connections.peer_codec import encode_status
from siskinshift.connections.peer_codec import encode_verdict
from siskinshift.connections.peer_codec import encode_warm_up_rate
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import KnownHosts
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import OwnerQuery
from siskinshift.connections.peer_messages import OwnershipAnnouncement
from siskinshift.connections.peer_messages import PeerHeartbeat
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.peer_messages import WarmUpRate
from tests.connections.builders import flow_of
from tests.connections.builders import member


def test_each_message_round_trips() -> None:
    known = member("agent-1", service="editor", weight=625, slots=3)
    forward = encode_forward(Purpose.LOOKUP, 0xCAFE, b"packet")
    verdict = FlowVerdict(Verdict.NOT_MINE, flow_of(9), Load(5, 2), b"returned")
    status = Status(known, Load(5, 2), configuration_version=8, wants_members=True)

    assert decode_peer_message(forward) == Forward(Purpose.LOOKUP, 0xCAFE, b"packet")
    assert decode_peer_message(encode_verdict(verdict)) == verdict
    assert decode_peer_message(encode_status(status)) == status
    heartbeat = PeerHeartbeat(1 << 41, 7, Load(5, 2), 12, 3.9)
    assert decode_peer_message(encode_peer_heartbeat(heartbeat)) == heartbeat
    hosts = KnownHosts(("10.0.0.9", "10.0.1.1"), count=300, is_complete=True)
    assert decode_peer_message(encode_known_hosts(hosts)) == hosts
    announcement = OwnershipAnnouncement("agent-1", (flow_of(1), flow_of(2)))
    assert (
        decode_peer_message(encode_ownership_announcement(announcement)) == announcement
    )
    query = OwnerQuery(flow_of(9), 0xFFFF_FFFF)
    assert decode_peer_message(encode_owner_query(query)) == query
    evacuations = Evacuations(1 << 40, frozenset({"a", "b"}))
    assert decode_peer_message(encode_evacuations_message(evacuations)) == evacuations
    warm_up = WarmUpRate(12.5)
    assert decode_peer_message(encode_warm_up_rate(warm_up)) == warm_up


def test_counts_above_the_field_are_capped() -> None:
    verdict = FlowVerdict(Verdict.MINE, flow_of(9), Load(100_000, 70_000))

    decoded = decode_peer_message(encode_verdict(verdict))

    assert isinstance(decoded, FlowVerdict)
    assert decoded.load == Load(0xFFFF, 0xFFFF)


@given(strategies.binary(max_size=200))
def test_any_bytes_decode_to_a_message_or_none(datagram: bytes) -> None:
    message = decode_peer_message(datagram)

    assert message is None or isinstance(
        message,
        (
            Forward,
            FlowVerdict,
            Status,
            PeerHeartbeat,
            KnownHosts,
            OwnerQuery,
            OwnershipAnnouncement,
        ),
    )


@given(strategies.data())
def test_a_damaged_status_never_raises(data: strategies.DataObject) -> None:
    datagram = bytearray(encode_status(Status(member("agent-1"), Load())))
    index = data.draw(strategies.integers(1, len(datagram) - 1))
    datagram[index] = data.draw(strategies.integers(0, 255))

    assert decode_peer_message(bytes(datagram)) is None or len(datagram) > 1
