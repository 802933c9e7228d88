"""Encodes and decodes the datagrams between balancers and agents.

Packets, verdicts and load have a fixed binary layout, since there is one for each
packet or each new flow; the status of a member is JSON. The receiver drops an unknown
or malformed datagram.
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
from siskinshift.connections.peer_messages import NO_REQUEST_PARAMETERS
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
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.segment import FLOW_SIZE
from siskinshift.control.documents import encode_json
from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_object
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.connections.peer_messages import PeerMessage


# Most flows in one datagram: 1,200 bytes, as much as a caller's packet.
MAX_ANNOUNCED_FLOWS = 90
# Most hosts in one datagram.
MAX_KNOWN_HOSTS = 280


class _Kind(IntEnum):
    FORWARD = 1
    VERDICT = 2
    STATUS = 3
    KNOWN_HOSTS = 4
    PEER_HEARTBEAT = 5
    OWNER_QUERY = 6
    OWNERSHIP_ANNOUNCEMENT = 7
    EVACUATIONS = 8
    WARM_UP_RATE = 9


# kind, purpose, service tag, urgency, objective and deadline in milliseconds
_FORWARD_HEADER = struct.Struct("!BBIBHH")
_MILLISECONDS = 1000
_MAX_URGENCY = 0xFF
# flows, running, whether the load is certain
_LOAD = struct.Struct("!HH?")
# kind, incarnation, record's version, configuration's version, milliseconds until the
# next heartbeat; the load follows
_PEER_HEARTBEAT = struct.Struct("!BQIIH")
# kind, verdict, flow; the load and the packet follow
_VERDICT = struct.Struct(f"!BB{FLOW_SIZE}s")
_OWNER_QUERY = struct.Struct(f"!B{FLOW_SIZE}sI")
# kind, length of the agent's member id; the member id and the flows follow
_OWNERSHIP_ANNOUNCEMENT = struct.Struct("!BB")
# kind, whether the sender's list is complete, its length; the hosts follow
_KNOWN_HOSTS = struct.Struct("!B?H")
# kind, new flows a second
_WARM_UP_RATE = struct.Struct("!Bd")
# Upper bound of new flows a second; no upstream accepts more.
MAX_WARM_UP_RATE = 1e6
_HOST_SIZE = 4
_MAX_COUNT = 0xFFFF
_PURPOSES = tuple(Purpose)
_VERDICTS = tuple(Verdict)


def encode_forward(
    purpose: Purpose,
    service_tag: int,
    datagram: bytes,
    request_parameters: RequestParameters = NO_REQUEST_PARAMETERS,
) -> bytes:
    """Encodes a packet for an agent.

    Args:
        purpose: What the agent is requested to do with the packet.
        service_tag: Hash of the target service.
        datagram: The packet.
        request_parameters: Request parameters of the flow's route.

    Returns:
        The message.
    """
    header = _FORWARD_HEADER.pack(
        _Kind.FORWARD,
        purpose,
        service_tag,
        min(request_parameters.urgency, _MAX_URGENCY),
        min(round(request_parameters.objective * _MILLISECONDS), _MAX_COUNT),
        min(round(request_parameters.deadline * _MILLISECONDS), _MAX_COUNT),
    )
    return header + datagram


def encode_owner_query(query: OwnerQuery) -> bytes:
    """Encodes a balancer's query for a flow's owner.

    Args:
        query: The query.

    Returns:
        The message.
    """
    return _OWNER_QUERY.pack(_Kind.OWNER_QUERY, query.flow, query.acknowledged)


def encode_ownership_announcement(announcement: OwnershipAnnouncement) -> bytes:
    """Encodes an announcement of an agent's flows.

    Args:
        announcement: The agent and at most `MAX_ANNOUNCED_FLOWS` of its flows.

    Returns:
        The message.
    """
    member_id = announcement.member_id.encode()
    return (
        _OWNERSHIP_ANNOUNCEMENT.pack(_Kind.OWNERSHIP_ANNOUNCEMENT, len(member_id))
        + member_id
        + b"".join(announcement.flows)
    )


def encode_ownership_announcements(
    member_id: str, flows: Sequence[bytes]
) -> list[bytes]:
    """Encodes the announcement of an agent's flows in as many messages as needed.

    Args:
        member_id: The agent.
        flows: All of its flows to announce.

    Returns:
        The messages.
    """
    return [
        encode_ownership_announcement(
            OwnershipAnnouncement(member_id, tuple(flows[i : i + MAX_ANNOUNCED_FLOWS]))
        )
        for i in range(0, len(flows), MAX_ANNOUNCED_FLOWS)
    ]


def encode_verdict(verdict: FlowVerdict) -> bytes:
    """Encodes an agent's verdict about a flow.

    Args:
        verdict: The verdict.

    Returns:
        The message.
    """
    header = _VERDICT.pack(_Kind.VERDICT, verdict.verdict, verdict.flow)
    return header + _pack_load(verdict.load) + verdict.packet


def encode_status(status: Status) -> bytes:
    """Encodes the status of a member.

    Args:
        status: The status.

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


def encode_peer_heartbeat(heartbeat: PeerHeartbeat) -> bytes:
    """Encodes the short heartbeat of a member.

    Args:
        heartbeat: The heartbeat.

    Returns:
        The message.
    """
    header = _PEER_HEARTBEAT.pack(
        _Kind.PEER_HEARTBEAT,
        heartbeat.incarnation,
        heartbeat.version,
        heartbeat.configuration_version,
        min(round(heartbeat.next_heartbeat_within * _MILLISECONDS), _MAX_COUNT),
    )
    return header + _pack_load(heartbeat.load)


def _pack_load(load: Load) -> bytes:
    flows = min(load.flows, _MAX_COUNT)
    return _LOAD.pack(flows, min(load.running, _MAX_COUNT), load.is_certain)


def encode_known_hosts(known: KnownHosts) -> bytes:
    """Encodes known hosts for a peer.

    Args:
        known: The hosts; no more than fit into a datagram.

    Returns:
        The message.
    """
    count = min(known.count, _MAX_COUNT)
    header = _KNOWN_HOSTS.pack(_Kind.KNOWN_HOSTS, known.is_complete, count)
    return header + b"".join(socket.inet_aton(host) for host in known.hosts)


def encode_evacuations_message(evacuations: Evacuations) -> bytes:
    """Encodes the evacuated failure domains.

    Args:
        evacuations: The domains and their revision.

    Returns:
        The message.
    """
    return bytes((_Kind.EVACUATIONS,)) + encode_evacuations(evacuations)


def encode_warm_up_rate(warm_up: WarmUpRate) -> bytes:
    """Encodes the rate of new flows that a cold upstream can accept.

    Args:
        warm_up: The rate.

    Returns:
        The message.
    """
    return _WARM_UP_RATE.pack(_Kind.WARM_UP_RATE, warm_up.rate)


def decode_peer_message(datagram: bytes) -> PeerMessage | None:
    """Decodes a message.

    Args:
        datagram: A datagram from a peer.

    Returns:
        The message, or None if it is malformed.
    """
    if not datagram:
        return None
    try:
        if datagram[0] == _Kind.FORWARD:
            return _decode_forward(datagram)
        if datagram[0] == _Kind.VERDICT:
            return _decode_verdict(datagram)
        if datagram[0] == _Kind.OWNERSHIP_ANNOUNCEMENT:
            return _decode_ownership_announcement(datagram)
        if datagram[0] == _Kind.OWNER_QUERY:
            _, flow, acknowledged = _OWNER_QUERY.unpack(datagram)
            return OwnerQuery(flow, acknowledged)
        if datagram[0] == _Kind.STATUS:
            return _decode_status(datagram)
        if datagram[0] == _Kind.PEER_HEARTBEAT:
            return _decode_peer_heartbeat(datagram)
        if datagram[0] == _Kind.KNOWN_HOSTS:
            return _decode_known_hosts(datagram)
        if datagram[0] == _Kind.EVACUATIONS:
            return evacuations_from_document(parse_object(datagram[1:]))
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
    request_parameters = RequestParameters(
        objective_ms / _MILLISECONDS, deadline_ms / _MILLISECONDS, urgency
    )
    packet = datagram[_FORWARD_HEADER.size :]
    return Forward(_PURPOSES[purpose - 1], service_tag, packet, request_parameters)


def _decode_verdict(datagram: bytes) -> FlowVerdict:
    _, verdict, flow = _VERDICT.unpack_from(datagram)
    if verdict < 1:
        raise ValueError(verdict)
    load = Load(*_LOAD.unpack_from(datagram, _VERDICT.size))
    packet = datagram[_VERDICT.size + _LOAD.size :]
    return FlowVerdict(_VERDICTS[verdict - 1], flow, load, packet)


def _decode_ownership_announcement(datagram: bytes) -> OwnershipAnnouncement:
    _, length = _OWNERSHIP_ANNOUNCEMENT.unpack_from(datagram)
    flows_offset = _OWNERSHIP_ANNOUNCEMENT.size + length
    flows = datagram[flows_offset:]
    if len(flows) % FLOW_SIZE:
        raise ValueError(len(flows))
    return OwnershipAnnouncement(
        datagram[_OWNERSHIP_ANNOUNCEMENT.size : flows_offset].decode(),
        tuple(flows[i : i + FLOW_SIZE] for i in range(0, len(flows), FLOW_SIZE)),
    )


def _decode_peer_heartbeat(datagram: bytes) -> PeerHeartbeat:
    _, incarnation, version, configuration, next_ms = _PEER_HEARTBEAT.unpack_from(
        datagram
    )
    load = Load(*_LOAD.unpack(datagram[_PEER_HEARTBEAT.size :]))
    return PeerHeartbeat(
        incarnation, version, load, configuration, next_ms / _MILLISECONDS
    )


def _decode_warm_up_rate(datagram: bytes) -> WarmUpRate:
    _, rate = _WARM_UP_RATE.unpack(datagram)
    if not 0.0 < rate <= MAX_WARM_UP_RATE:
        raise ValueError(rate)
    return WarmUpRate(rate)


def _decode_status(datagram: bytes) -> Status:
    body = parse_object(datagram[1:])
    return Status(
        member=member_from_document(get_object(body, "member")),
        load=Load(
            get_integer(body, "flows"),
            get_integer(body, "running"),
            is_certain=body.get("certain") is True,
        ),
        configuration_version=get_integer(body, "configuration"),
        wants_status=body.get("wants_status") is True,
        wants_members=body.get("wants_members") is True,
    )


def _decode_known_hosts(datagram: bytes) -> KnownHosts:
    _, is_complete, count = _KNOWN_HOSTS.unpack_from(datagram)
    packed = datagram[_KNOWN_HOSTS.size :]
    if len(packed) % _HOST_SIZE:
        raise ValueError(len(packed))
    hosts = (
        socket.inet_ntoa(packed[start : start + _HOST_SIZE])
        for start in range(0, len(packed), _HOST_SIZE)
    )
    return KnownHosts(tuple(hosts), count, is_complete)
