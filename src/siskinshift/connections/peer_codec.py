"""Writes and reads the datagrams between balancers and agents.

Packets, verdicts and load go in a fixed binary layout, since there is one for each
packet or each new flow; what members say of themselves goes as JSON. An unknown or
broken datagram is dropped by the receiver.
"""

from __future__ import annotations

import socket
import struct
from enum import IntEnum
from typing import TYPE_CHECKING

from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.evacuations import encode_evacuations
from siskinshift.connections.evacuations import evacuations_from_document
from siskinshift.connections.member_documents import member_document
from siskinshift.connections.member_documents import member_from_document
from siskinshift.connections.peer_messages import NO_TERMS
from siskinshift.connections.peer_messages import Alive
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import KnownHosts
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Owned
from siskinshift.connections.peer_messages import OwnerQuery
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.peer_messages import WarmUpRate
from siskinshift.connections.request_queue import Terms
from siskinshift.connections.segment import FLOW_SIZE
from siskinshift.control.documents import encode_json
from siskinshift.control.documents import parse_table
from siskinshift.control.documents import table_of
from siskinshift.control.documents import whole_of
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.connections.peer_messages import PeerMessage


# Flows named in one datagram: 1,200 bytes, as much as a caller's packet.
OWNED_FLOWS_MAXIMUM = 90
# Hosts named in one datagram.
MAX_KNOWN_HOSTS = 280


class _Kind(IntEnum):
    FORWARD = 1
    VERDICT = 2
    STATUS = 3
    KNOWN_HOSTS = 4
    ALIVE = 5
    QUESTION = 6
    OWNED = 7
    EVACUATIONS = 8
    WARM_UP_RATE = 9


# kind, purpose, service tag, urgency, objective and deadline in milliseconds
_FORWARD_HEADER = struct.Struct("!BBIBHH")
_MILLISECONDS = 1000
_URGENCY_MAXIMUM = 0xFF
# flows, running, whether they are certain
_LOAD = struct.Struct("!HH?")
# kind, incarnation, record's version, configuration's version, milliseconds until the
# next word; the load follows
_ALIVE = struct.Struct("!BQIIH")
# kind, verdict, flow; the load and the packet follow
_VERDICT = struct.Struct(f"!BB{FLOW_SIZE}s")
_QUESTION = struct.Struct(f"!B{FLOW_SIZE}sI")
# kind, length of the agent's name; the name and the flows follow
_OWNED = struct.Struct("!BB")
# kind, whether the sender knows all, how many it knows; the hosts follow
_KNOWN_HOSTS = struct.Struct("!B?H")
# kind, new flows a second
_WARM_UP_RATE = struct.Struct("!Bd")
# No upstream takes more new flows a second.
MAX_WARM_UP_RATE = 1e6
_HOST_SIZE = 4
_COUNT_MAXIMUM = 0xFFFF
_PURPOSES = tuple(Purpose)
_VERDICTS = tuple(Verdict)


def encode_forward(
    purpose: Purpose, service_tag: int, datagram: bytes, terms: Terms = NO_TERMS
) -> bytes:
    """Writes a packet for an agent.

    Args:
        purpose: What is asked of the agent.
        service_tag: Hash of the service that is meant.
        datagram: The packet.
        terms: What callers on the flow's route want.

    Returns:
        The message.
    """
    header = _FORWARD_HEADER.pack(
        _Kind.FORWARD,
        purpose,
        service_tag,
        min(terms.urgency, _URGENCY_MAXIMUM),
        min(round(terms.objective * _MILLISECONDS), _COUNT_MAXIMUM),
        min(round(terms.deadline * _MILLISECONDS), _COUNT_MAXIMUM),
    )
    return header + datagram


def encode_question(question: OwnerQuery) -> bytes:
    """Writes a balancer's question for a flow's owner.

    Args:
        question: The question.

    Returns:
        The message.
    """
    return _QUESTION.pack(_Kind.QUESTION, question.flow, question.acknowledged)


def encode_owned(owned: Owned) -> bytes:
    """Writes whose flows they are.

    Args:
        owned: The agent and its flows; a hundred of them fit into a packet.

    Returns:
        The message.
    """
    name = owned.member_id.encode()
    return _OWNED.pack(_Kind.OWNED, len(name)) + name + b"".join(owned.flows)


def encode_all_owned(member_id: str, flows: Sequence[bytes]) -> list[bytes]:
    """Writes whose flows they are in as many messages as it takes.

    Args:
        member_id: The agent.
        flows: All of its flows that are to be named.

    Returns:
        The messages.
    """
    return [
        encode_owned(Owned(member_id, tuple(flows[i : i + OWNED_FLOWS_MAXIMUM])))
        for i in range(0, len(flows), OWNED_FLOWS_MAXIMUM)
    ]


def encode_verdict(verdict: FlowVerdict) -> bytes:
    """Writes an agent's word about a flow.

    Args:
        verdict: The word.

    Returns:
        The message.
    """
    header = _VERDICT.pack(_Kind.VERDICT, verdict.verdict, verdict.flow)
    return header + _pack_load(verdict.load) + verdict.packet


def encode_status(status: Status) -> bytes:
    """Writes what a member says of itself.

    Args:
        status: Its words.

    Returns:
        The message.
    """
    body = {
        "member": member_document(status.member),
        "flows": status.load.flows,
        "running": status.load.running,
        "certain": status.load.is_certain,
        "configuration": status.configuration_version,
        "wants_status": status.wants_status,
        "wants_members": status.wants_members,
    }
    return bytes((_Kind.STATUS,)) + encode_json(body)


def encode_alive(alive: Alive) -> bytes:
    """Writes that a member lives.

    Args:
        alive: Its words.

    Returns:
        The message.
    """
    words = _ALIVE.pack(
        _Kind.ALIVE,
        alive.incarnation,
        alive.version,
        alive.configuration_version,
        min(round(alive.next_within * _MILLISECONDS), _COUNT_MAXIMUM),
    )
    return words + _pack_load(alive.load)


def _pack_load(load: Load) -> bytes:
    flows = min(load.flows, _COUNT_MAXIMUM)
    return _LOAD.pack(flows, min(load.running, _COUNT_MAXIMUM), load.is_certain)


def encode_known_hosts(known: KnownHosts) -> bytes:
    """Writes hosts for a peer.

    Args:
        known: The hosts; no more than fit into a datagram.

    Returns:
        The message.
    """
    count = min(known.count, _COUNT_MAXIMUM)
    header = _KNOWN_HOSTS.pack(_Kind.KNOWN_HOSTS, known.is_whole, count)
    return header + b"".join(socket.inet_aton(host) for host in known.hosts)


def encode_evacuations_message(evacuations: Evacuations) -> bytes:
    """Writes the evacuated failure domains.

    Args:
        evacuations: The domains and their revision.

    Returns:
        The message.
    """
    return bytes((_Kind.EVACUATIONS,)) + encode_evacuations(evacuations)


def encode_warm_up_rate(warm_up: WarmUpRate) -> bytes:
    """Writes how much a cold upstream bears.

    Args:
        warm_up: The rate.

    Returns:
        The message.
    """
    return _WARM_UP_RATE.pack(_Kind.WARM_UP_RATE, warm_up.rate)


def decode_peer_message(datagram: bytes) -> PeerMessage | None:
    """Takes a message apart.

    Args:
        datagram: What came from a peer.

    Returns:
        The message, or None for one that can't be read.
    """
    if not datagram:
        return None
    try:
        if datagram[0] == _Kind.FORWARD:
            return _decode_forward(datagram)
        if datagram[0] == _Kind.VERDICT:
            return _decode_verdict(datagram)
        if datagram[0] == _Kind.OWNED:
            return _decode_owned(datagram)
        if datagram[0] == _Kind.QUESTION:
            _, flow, acknowledged = _QUESTION.unpack(datagram)
            return OwnerQuery(flow, acknowledged)
        if datagram[0] == _Kind.STATUS:
            return _decode_status(datagram)
        if datagram[0] == _Kind.ALIVE:
            return _decode_alive(datagram)
        if datagram[0] == _Kind.KNOWN_HOSTS:
            return _decode_known_hosts(datagram)
        if datagram[0] == _Kind.EVACUATIONS:
            return evacuations_from_document(parse_table(datagram[1:]))
        if datagram[0] == _Kind.WARM_UP_RATE:
            return _decode_warm_up_rate(datagram)
    except (BadMessageError, IndexError, ValueError, struct.error):
        return None
    return None


def _decode_forward(datagram: bytes) -> Forward:
    _, purpose, service_tag, urgency, objective_ms, deadline_ms = (
        _FORWARD_HEADER.unpack_from(datagram)
    )
    if purpose < 1:
        raise ValueError(purpose)
    terms = Terms(objective_ms / _MILLISECONDS, deadline_ms / _MILLISECONDS, urgency)
    packet = datagram[_FORWARD_HEADER.size :]
    return Forward(_PURPOSES[purpose - 1], service_tag, packet, terms)


def _decode_verdict(datagram: bytes) -> FlowVerdict:
    _, verdict, flow = _VERDICT.unpack_from(datagram)
    if verdict < 1:
        raise ValueError(verdict)
    load = Load(*_LOAD.unpack_from(datagram, _VERDICT.size))
    packet = datagram[_VERDICT.size + _LOAD.size :]
    return FlowVerdict(_VERDICTS[verdict - 1], flow, load, packet)


def _decode_owned(datagram: bytes) -> Owned:
    _, length = _OWNED.unpack_from(datagram)
    begin = _OWNED.size + length
    flows = datagram[begin:]
    if len(flows) % FLOW_SIZE:
        raise ValueError(len(flows))
    return Owned(
        datagram[_OWNED.size : begin].decode(),
        tuple(flows[i : i + FLOW_SIZE] for i in range(0, len(flows), FLOW_SIZE)),
    )


def _decode_alive(datagram: bytes) -> Alive:
    _, incarnation, version, configuration, next_ms = _ALIVE.unpack_from(datagram)
    load = Load(*_LOAD.unpack(datagram[_ALIVE.size :]))
    return Alive(incarnation, version, load, configuration, next_ms / _MILLISECONDS)


def _decode_warm_up_rate(datagram: bytes) -> WarmUpRate:
    _, rate = _WARM_UP_RATE.unpack(datagram)
    if not 0.0 < rate <= MAX_WARM_UP_RATE:
        raise ValueError(rate)
    return WarmUpRate(rate)


def _decode_status(datagram: bytes) -> Status:
    body = parse_table(datagram[1:])
    return Status(
        member=member_from_document(table_of(body, "member")),
        load=Load(
            whole_of(body, "flows"),
            whole_of(body, "running"),
            is_certain=body.get("certain") is True,
        ),
        configuration_version=whole_of(body, "configuration"),
        wants_status=body.get("wants_status") is True,
        wants_members=body.get("wants_members") is True,
    )


def _decode_known_hosts(datagram: bytes) -> KnownHosts:
    _, is_whole, count = _KNOWN_HOSTS.unpack_from(datagram)
    packed = datagram[_KNOWN_HOSTS.size :]
    if len(packed) % _HOST_SIZE:
        raise ValueError(len(packed))
    hosts = (
        socket.inet_ntoa(packed[start : start + _HOST_SIZE])
        for start in range(0, len(packed), _HOST_SIZE)
    )
    return KnownHosts(tuple(hosts), count, is_whole)
