"""Datagrams behind a PROXY protocol v2 header.

Source: the PROXY protocol specification, version 2, DGRAM over INET and INET6.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from siskinshift.core.keyring import DIGEST_SIZE
from siskinshift.core.packets import Envelope
from siskinshift.core.packets import Packet
from siskinshift.wire.exceptions import BadAuthenticatorError
from siskinshift.wire.exceptions import BadHeaderError
from siskinshift.wire.exceptions import TruncatedHeaderError
from siskinshift.wire.header import FIXED_SIZE
from siskinshift.wire.header import TLV_HEAD
from siskinshift.wire.header import header_size
from siskinshift.wire.header import pack_addresses
from siskinshift.wire.header import split_header
from siskinshift.wire.header import with_tlvs
from siskinshift.wire.reference import parse_addresses


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing
    from siskinshift.wire.header import SplitHeader


ENVELOPE_TLV = 0xE0
AUTHENTICATOR_TLV = 0xE1
FLAG_MAY_CREATE = 0x01
FLAG_DISCLAIMED = 0x02

_ENVELOPE = struct.Struct("!BBQ")
_SIGNED_HEAD = struct.Struct("!H")
_AUTHENTICATOR_HEAD = TLV_HEAD.pack(AUTHENTICATOR_TLV, DIGEST_SIZE)
_AUTHENTICATOR_SIZE = len(_AUTHENTICATOR_HEAD) + DIGEST_SIZE


class PacketCodec:
    """Packs and unpacks datagrams between the fabric and the system."""

    def pack(self, packet: Packet) -> bytes:
        """Packs a packet without an envelope, as the fabric speaks it.

        Args:
            packet: The packet.

        Returns:
            Header and payload.
        """
        return pack_addresses(packet.caller, packet.service_address) + packet.payload

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
        end = _header_end(datagram)
        header = split_header(datagram, end)
        if header is not None and not header.tlv_bytes:
            return Packet(header.caller, header.service_address, datagram[end:])
        # A fabric may add TLVs of its own: the library reads over them.
        caller, service_address = parse_addresses(datagram[:end])
        return Packet(caller, service_address, datagram[end:])


class EnvelopeCodec(PacketCodec):
    """Packs and unpacks authenticated datagrams inside the system."""

    def __init__(self, key_ring: KeyRing) -> None:
        self._key_ring = key_ring

    def pack_envelope(self, envelope: Envelope) -> bytes:
        """Packs an envelope with its authenticator.

        Args:
            envelope: The envelope.

        Returns:
            Header and payload.
        """
        packet = envelope.packet
        flags = FLAG_MAY_CREATE if envelope.may_create else 0
        flags |= FLAG_DISCLAIMED if envelope.disclaimed else 0
        fields = _ENVELOPE.pack(envelope.hop_count, flags, envelope.view_version)
        fields += envelope.querier_id.encode()
        addresses = pack_addresses(packet.caller, packet.service_address)
        signed = _signed_bytes(addresses[FIXED_SIZE:], fields, packet.payload)
        tlvs = b"".join(
            (
                TLV_HEAD.pack(ENVELOPE_TLV, len(fields)),
                fields,
                _AUTHENTICATOR_HEAD,
                self._key_ring.sign(signed),
            )
        )
        return with_tlvs(addresses, tlvs) + packet.payload

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
        end = _header_end(datagram)
        header = split_header(datagram, end)
        if header is None:
            raise BadHeaderError
        fields, authenticator = _split_tlvs(header)
        payload = datagram[end:]
        signed = _signed_bytes(header.address_block, fields, payload)
        if not self._key_ring.verify(signed, authenticator):
            raise BadAuthenticatorError
        if len(fields) < _ENVELOPE.size:
            raise BadHeaderError
        hop_count, flags, view_version = _ENVELOPE.unpack_from(fields)
        return Envelope(
            packet=Packet(header.caller, header.service_address, payload),
            hop_count=hop_count,
            view_version=view_version,
            querier_id=fields[_ENVELOPE.size :].decode(errors="replace"),
            may_create=bool(flags & FLAG_MAY_CREATE),
            disclaimed=bool(flags & FLAG_DISCLAIMED),
        )


def _header_end(datagram: bytes) -> int:
    if len(datagram) < FIXED_SIZE:
        raise TruncatedHeaderError
    end = header_size(datagram)
    if len(datagram) < end:
        raise TruncatedHeaderError
    return end


def _split_tlvs(header: SplitHeader) -> tuple[bytes, bytes]:
    # Only the system's own processes write envelopes: two TLVs, in this order.
    tlvs = header.tlv_bytes
    fields_end = len(tlvs) - _AUTHENTICATOR_SIZE
    if fields_end < TLV_HEAD.size:
        raise BadAuthenticatorError
    if tlvs[: TLV_HEAD.size] != TLV_HEAD.pack(ENVELOPE_TLV, fields_end - TLV_HEAD.size):
        raise BadAuthenticatorError
    authenticator_start = fields_end + len(_AUTHENTICATOR_HEAD)
    if tlvs[fields_end:authenticator_start] != _AUTHENTICATOR_HEAD:
        raise BadAuthenticatorError
    return tlvs[TLV_HEAD.size : fields_end], tlvs[authenticator_start:]


def _signed_bytes(address_block: bytes, fields: bytes, payload: bytes) -> bytes:
    # Lengths go first: no two envelopes give the same bytes.
    sizes = _SIGNED_HEAD.pack(len(address_block)) + _SIGNED_HEAD.pack(len(fields))
    return b"".join((sizes, address_block, fields, payload))
