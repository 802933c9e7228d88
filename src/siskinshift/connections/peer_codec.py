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
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.connections.peer_messages import OwnerQuery
from siskinshift.connections.peer_messages import OwnershipAnnouncement
from siskinshift.connections.peer_messages import PeerHeartbeat
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.peer_messages import WarmUpRate
from siskinshift.connections.request_kind import RequestKind
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
    SERVICE_POLICY = 10
    # The following two replace PEER_HEARTBEAT and VERDICT for a balancer that has
    # requested load reports; nodes without load policies drop unknown kinds.
    REPORTED_HEARTBEAT = 11
    REPORTED_VERDICT = 12
    # Replaces PEER_HEARTBEAT of a balancer whose configuration has a larger version
    # than that one carries.
    LARGE_VERSION_HEARTBEAT = 13


# kind, purpose, service tag, request kind and urgency, objective and deadline in
# milliseconds
_FORWARD_HEADER = struct.Struct("!BBIBHH")
FORWARD_HEADER_SIZE = _FORWARD_HEADER.size
_HEARTBEATS = (
    _Kind.PEER_HEARTBEAT,
    _Kind.REPORTED_HEARTBEAT,
    _Kind.LARGE_VERSION_HEARTBEAT,
)
_MILLISECONDS = 1000
# The upper half of the urgency byte is the request kind, 0 if no load policy needs it.
_KIND_SHIFT = 4
MAX_URGENCY = 0x0F
# run times in tenths of milliseconds (median, 0.1 quantile), wait in milliseconds, busy
# fraction, stalled requests, failure fraction, samples
_LOAD_REPORT = struct.Struct("!HHHBBBB")
_TENTHS_OF_MILLISECONDS = 10_000
_MAX_BYTE = 0xFF
# kind, flags, open flows
_SERVICE_POLICY = struct.Struct("!BBI")
_ADMISSION_FLAG = 1
_REPORTS_FLAG = 2
_RECEIPT_FLAG = 4
# flows, running, whether the load is certain
_LOAD = struct.Struct("!HH?")
# kind, incarnation, record's version, configuration's version, milliseconds until the
# next heartbeat; the load follows
_PEER_HEARTBEAT = struct.Struct("!BQIIH")
_LARGE_VERSION_HEARTBEAT = struct.Struct("!BQIQH")
_MAX_SHORT_VERSION = (1 << 32) - 1
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
        _pack_urgency(request_parameters),
        min(round(request_parameters.objective * _MILLISECONDS), _MAX_COUNT),
        min(round(request_parameters.deadline * _MILLISECONDS), _MAX_COUNT),
    )
    return header + datagram


def _pack_urgency(parameters: RequestParameters) -> int:
    return parameters.kind << _KIND_SHIFT | min(parameters.urgency, MAX_URGENCY)


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
    kind = _Kind.REPORTED_VERDICT if verdict.load.report else _Kind.VERDICT
    header = _VERDICT.pack(kind, verdict.verdict, verdict.flow)
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
    has_report = heartbeat.load.report is not None
    kind, layout = _Kind.PEER_HEARTBEAT, _PEER_HEARTBEAT
    if has_report:
        kind = _Kind.REPORTED_HEARTBEAT
    elif heartbeat.configuration_version > _MAX_SHORT_VERSION:
        kind, layout = _Kind.LARGE_VERSION_HEARTBEAT, _LARGE_VERSION_HEARTBEAT
    header = layout.pack(
        kind,
        heartbeat.incarnation,
        heartbeat.version,
        heartbeat.configuration_version,
        min(round(heartbeat.next_heartbeat_within * _MILLISECONDS), _MAX_COUNT),
    )
    return header + _pack_load(heartbeat.load)


def _pack_load(load: Load) -> bytes:
    flows = min(load.flows, _MAX_COUNT)
    packed = _LOAD.pack(flows, min(load.running, _MAX_COUNT), load.is_certain)
    return packed if load.report is None else packed + _pack_report(load.report)


def _pack_report(report: LoadReport) -> bytes:
    def run_time(seconds: float) -> int:
        return min(round(seconds * _TENTHS_OF_MILLISECONDS), _MAX_COUNT)

    return _LOAD_REPORT.pack(
        run_time(report.run_seconds),
        run_time(report.fast_run_seconds),
        min(round(report.wait_seconds * _MILLISECONDS), _MAX_COUNT),
        min(round(report.busy_fraction * _MAX_BYTE), _MAX_BYTE),
        min(report.stalled, _MAX_BYTE),
        min(round(report.failure_fraction * _MAX_BYTE), _MAX_BYTE),
        min(report.samples, _MAX_BYTE),
    )


def _unpack_load(datagram: bytes, offset: int, *, has_report: bool) -> Load:
    flows, running, is_certain = _LOAD.unpack_from(datagram, offset)
    if not has_report:
        return Load(flows, running, is_certain)
    run, fast_run, wait, busy, stalled, failures, samples = _LOAD_REPORT.unpack_from(
        datagram, offset + _LOAD.size
    )
    report = LoadReport(
        run_seconds=run / _TENTHS_OF_MILLISECONDS,
        fast_run_seconds=fast_run / _TENTHS_OF_MILLISECONDS,
        wait_seconds=wait / _MILLISECONDS,
        busy_fraction=busy / _MAX_BYTE,
        stalled=stalled,
        failure_fraction=failures / _MAX_BYTE,
        samples=samples,
    )
    return Load(flows, running, is_certain, report)


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


def encode_service_policy(policy: ServicePolicy) -> bytes:
    """Encodes the load policies that an agent has to apply.

    Args:
        policy: The policies.

    Returns:
        The message.
    """
    flags = (
        _ADMISSION_FLAG * policy.uses_admission
        | _REPORTS_FLAG * policy.wants_reports
        | _RECEIPT_FLAG * policy.receives_without_slot
    )
    return _SERVICE_POLICY.pack(_Kind.SERVICE_POLICY, flags, policy.max_connections)


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
        if datagram[0] in (_Kind.VERDICT, _Kind.REPORTED_VERDICT):
            return _decode_verdict(datagram)
        if datagram[0] == _Kind.OWNERSHIP_ANNOUNCEMENT:
            return _decode_ownership_announcement(datagram)
        if datagram[0] == _Kind.OWNER_QUERY:
            _, flow, acknowledged = _OWNER_QUERY.unpack(datagram)
            return OwnerQuery(flow, acknowledged)
        if datagram[0] == _Kind.STATUS:
            return _decode_status(datagram)
        if datagram[0] in _HEARTBEATS:
            return _decode_peer_heartbeat(datagram)
        if datagram[0] == _Kind.KNOWN_HOSTS:
            return _decode_known_hosts(datagram)
        if datagram[0] == _Kind.EVACUATIONS:
            return evacuations_from_document(parse_object(datagram[1:]))
        if datagram[0] == _Kind.WARM_UP_RATE:
            return _decode_warm_up_rate(datagram)
        if datagram[0] == _Kind.SERVICE_POLICY:
            return _decode_service_policy(datagram)
    except (BadMessageError, IndexError, ValueError, struct.error):
        return None
    return None


def _decode_forward(datagram: bytes) -> Forward:
    _, purpose, service_tag, urgency, objective_ms, deadline_ms = (
        _FORWARD_HEADER.unpack_from(datagram)
    )
    if purpose < 1:
        raise ValueError(purpose)
    kind = urgency >> _KIND_SHIFT
    request_parameters = RequestParameters(
        objective_ms / _MILLISECONDS,
        deadline_ms / _MILLISECONDS,
        urgency & MAX_URGENCY,
        RequestKind(kind),
    )
    packet = datagram[_FORWARD_HEADER.size :]
    return Forward(_PURPOSES[purpose - 1], service_tag, packet, request_parameters)


def _decode_verdict(datagram: bytes) -> FlowVerdict:
    _, verdict, flow = _VERDICT.unpack_from(datagram)
    if verdict < 1:
        raise ValueError(verdict)
    has_report = datagram[0] == _Kind.REPORTED_VERDICT
    load = _unpack_load(datagram, _VERDICT.size, has_report=has_report)
    report_size = _LOAD_REPORT.size if has_report else 0
    packet = datagram[_VERDICT.size + _LOAD.size + report_size :]
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
    is_large = datagram[0] == _Kind.LARGE_VERSION_HEARTBEAT
    layout = _LARGE_VERSION_HEARTBEAT if is_large else _PEER_HEARTBEAT
    _, incarnation, version, configuration, next_ms = layout.unpack_from(datagram)
    has_report = datagram[0] == _Kind.REPORTED_HEARTBEAT
    load_size = _LOAD.size + (_LOAD_REPORT.size if has_report else 0)
    if len(datagram) != layout.size + load_size:
        raise ValueError(len(datagram))
    load = _unpack_load(datagram, layout.size, has_report=has_report)
    return PeerHeartbeat(
        incarnation, version, load, configuration, next_ms / _MILLISECONDS
    )


def _decode_warm_up_rate(datagram: bytes) -> WarmUpRate:
    _, rate = _WARM_UP_RATE.unpack(datagram)
    if not 0.0 < rate <= MAX_WARM_UP_RATE:
        raise ValueError(rate)
    return WarmUpRate(rate)


def _decode_service_policy(datagram: bytes) -> ServicePolicy:
    _, flags, max_connections = _SERVICE_POLICY.unpack(datagram)
    return ServicePolicy(
        max_connections=max_connections,
        uses_admission=bool(flags & _ADMISSION_FLAG),
        wants_reports=bool(flags & _REPORTS_FLAG),
        receives_without_slot=bool(flags & _RECEIPT_FLAG),
    )


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
