"""Datagrams behind a PROXY protocol v2 header.

Source: the PROXY protocol specification, version 2, DGRAM over INET and INET6.
"""

from __future__ import annotations

import ipaddress
import socket
import struct
from typing import TYPE_CHECKING

from proxyprotocol import ProxyProtocolSyntaxError
from proxyprotocol.result import ProxyResultIPv4
from proxyprotocol.result import ProxyResultIPv6
from proxyprotocol.tlv import ProxyProtocolTLV
from proxyprotocol.v2 import ProxyProtocolV2

from siskinshift.core.packets import Envelope
from siskinshift.core.packets import Packet
from siskinshift.messages.core import Endpoint
from siskinshift.wire.exceptions import BadAuthenticatorError
from siskinshift.wire.exceptions import BadHeaderError
from siskinshift.wire.exceptions import TruncatedHeaderError


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing


FIXED_SIZE = 16
ENVELOPE_TLV = 0xE0
AUTHENTICATOR_TLV = 0xE1
FLAG_EXHAUSTED = 0x01
FLAG_DISCLAIMED = 0x02

_LENGTH = struct.Struct("!H")
_ENVELOPE = struct.Struct("!BBQ")


class PacketCodec:
    """Packs and unpacks datagrams between the fabric and the system."""

    def __init__(self) -> None:
        self._protocol = ProxyProtocolV2()

    def pack(self, packet: Packet) -> bytes:
        """Packs a packet without an envelope, as the fabric speaks it.

        Args:
            packet: The packet.

        Returns:
            Header and payload.
        """
        return self._pack(packet, {})

    def unpack(self, datagram: bytes) -> Packet:
        """Unpacks a datagram of the fabric.

        Args:
            datagram: Header and payload.

        Returns:
            The packet.

        Raises:
            TruncatedHeaderError: It ends inside the header.
            BadHeaderError: The header is of another kind.
        """
        packet, _ = self._unpack(datagram)
        return packet

    def _pack(self, packet: Packet, tlvs_by_type: dict[int, bytes]) -> bytes:
        source = ipaddress.ip_address(packet.caller.host)
        target = ipaddress.ip_address(packet.service_address.host)
        tlv = ProxyProtocolTLV(init=tlvs_by_type)
        result: ProxyResultIPv4 | ProxyResultIPv6
        if isinstance(source, ipaddress.IPv4Address):
            assert isinstance(target, ipaddress.IPv4Address)
            result = ProxyResultIPv4(
                (source, packet.caller.port),
                (target, packet.service_address.port),
                protocol=socket.SOCK_DGRAM,
                tlv=tlv,
            )
        else:
            assert isinstance(target, ipaddress.IPv6Address)
            result = ProxyResultIPv6(
                (source, packet.caller.port),
                (target, packet.service_address.port),
                protocol=socket.SOCK_DGRAM,
                tlv=tlv,
            )
        return bytes(self._protocol.pack(result)) + packet.payload

    def _unpack(self, datagram: bytes) -> tuple[Packet, ProxyProtocolTLV]:
        if len(datagram) < FIXED_SIZE:
            raise TruncatedHeaderError
        header_size = FIXED_SIZE + _LENGTH.unpack_from(datagram, FIXED_SIZE - 2)[0]
        if len(datagram) < header_size:
            raise TruncatedHeaderError
        try:
            result = self._protocol.unpack(datagram[:header_size])
        except (ProxyProtocolSyntaxError, struct.error, ValueError) as error:
            raise BadHeaderError from error
        if not isinstance(result, (ProxyResultIPv4, ProxyResultIPv6)):
            raise BadHeaderError
        if result.protocol is not socket.SOCK_DGRAM:
            raise BadHeaderError
        packet = Packet(
            caller=Endpoint(str(result.source[0]), result.source[1]),
            service_address=Endpoint(str(result.dest[0]), result.dest[1]),
            payload=datagram[header_size:],
        )
        return packet, result.tlv


class EnvelopeCodec(PacketCodec):
    """Packs and unpacks authenticated datagrams inside the system."""

    def __init__(self, key_ring: KeyRing) -> None:
        super().__init__()
        self._key_ring = key_ring

    def pack_envelope(self, envelope: Envelope) -> bytes:
        """Packs an envelope with its authenticator.

        Args:
            envelope: The envelope.

        Returns:
            Header and payload.
        """
        flags = FLAG_EXHAUSTED if envelope.exhausted else 0
        flags |= FLAG_DISCLAIMED if envelope.disclaimed else 0
        fields = _ENVELOPE.pack(envelope.hop_count, flags, envelope.view_version)
        fields += envelope.asker_id.encode()
        signed = _signed_bytes(envelope.packet, fields)
        tlvs_by_type = {
            ENVELOPE_TLV: fields,
            AUTHENTICATOR_TLV: self._key_ring.sign(signed),
        }
        return self._pack(envelope.packet, tlvs_by_type)

    def unpack_envelope(self, datagram: bytes) -> Envelope:
        """Unpacks an envelope and checks its authenticator.

        Args:
            datagram: Header and payload.

        Returns:
            The envelope.

        Raises:
            TruncatedHeaderError: It ends inside the header.
            BadHeaderError: The header is of another kind.
            BadAuthenticatorError: No holder of a key made it.
        """
        packet, tlv = self._unpack(datagram)
        fields = tlv.get(ENVELOPE_TLV)
        authenticator = tlv.get(AUTHENTICATOR_TLV)
        if fields is None or authenticator is None:
            raise BadAuthenticatorError
        if not self._key_ring.verifies(_signed_bytes(packet, fields), authenticator):
            raise BadAuthenticatorError
        if len(fields) < _ENVELOPE.size:
            raise BadHeaderError
        hop_count, flags, view_version = _ENVELOPE.unpack_from(fields)
        return Envelope(
            packet=packet,
            hop_count=hop_count,
            view_version=view_version,
            asker_id=fields[_ENVELOPE.size :].decode(errors="replace"),
            exhausted=bool(flags & FLAG_EXHAUSTED),
            disclaimed=bool(flags & FLAG_DISCLAIMED),
        )


def _signed_bytes(packet: Packet, fields: bytes) -> bytes:
    addresses = (
        f"{packet.caller.host} {packet.caller.port} "
        f"{packet.service_address.host} {packet.service_address.port} {len(fields)} "
    )
    return addresses.encode() + fields + packet.payload
