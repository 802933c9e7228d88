"""Encodes and decodes datagrams with a PROXY protocol v2 header.

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
from siskinshift.wire.header import FIXED_HEADER_SIZE
from siskinshift.wire.header import TLV_HEADER
from siskinshift.wire.header import append_tlvs
from siskinshift.wire.header import header_size
from siskinshift.wire.header import pack_addresses
from siskinshift.wire.header import parse_header
from siskinshift.wire.reference import parse_addresses


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing
    from siskinshift.wire.header import ParsedHeader


ENVELOPE_TLV = 0xE0
AUTHENTICATOR_TLV = 0xE1
FLAG_MAY_CREATE = 0x01
FLAG_DISCLAIMED = 0x02

_ENVELOPE_FIELDS = struct.Struct("!BBQ")
_LENGTH_PREFIX = struct.Struct("!H")
_AUTHENTICATOR_TLV_HEADER = TLV_HEADER.pack(AUTHENTICATOR_TLV, DIGEST_SIZE)
_AUTHENTICATOR_TLV_SIZE = len(_AUTHENTICATOR_TLV_HEADER) + DIGEST_SIZE


class PacketCodec:
    """Encodes and decodes datagrams exchanged with the fabric.

    The fabric is the network that distributes callers' datagrams over the balancers.
    """

    def pack(self, packet: Packet) -> bytes:
        """Encodes a packet without an envelope, in the format of the fabric.

        Args:
            packet: The packet.

        Returns:
            Header and payload.
        """
        return pack_addresses(packet.caller, packet.service_address) + packet.payload

    def unpack(self, datagram: bytes) -> Packet:
        """Decodes a datagram of the fabric.

        Args:
            datagram: Header and payload.

        Returns:
            The packet.

        Raises:
            TruncatedHeaderError: The datagram ends inside the header.
            BadHeaderError: The header has another format.
        """
        end = _header_end(datagram)
        header = parse_header(datagram, end)
        if header is not None and not header.tlv_bytes:
            return Packet(header.caller, header.service_address, datagram[end:])
        # A fabric may add its own TLVs; the library ignores them.
        caller, service_address = parse_addresses(datagram[:end])
        return Packet(caller, service_address, datagram[end:])


class EnvelopeCodec(PacketCodec):
    """Encodes and decodes authenticated datagrams between processes."""

    def __init__(self, key_ring: KeyRing) -> None:
        self._key_ring = key_ring

    def pack_envelope(self, envelope: Envelope) -> bytes:
        """Encodes an envelope with its authenticator.

        Args:
            envelope: The envelope.

        Returns:
            Header and payload.
        """
        packet = envelope.packet
        flags = FLAG_MAY_CREATE if envelope.may_create else 0
        flags |= FLAG_DISCLAIMED if envelope.disclaimed else 0
        fields = _ENVELOPE_FIELDS.pack(envelope.hop_count, flags, envelope.view_version)
        fields += envelope.querier_id.encode()
        addresses = pack_addresses(packet.caller, packet.service_address)
        signed = _signed_bytes(addresses[FIXED_HEADER_SIZE:], fields, packet.payload)
        tlvs = b"".join(
            (
                TLV_HEADER.pack(ENVELOPE_TLV, len(fields)),
                fields,
                _AUTHENTICATOR_TLV_HEADER,
                self._key_ring.sign(signed),
            )
        )
        return append_tlvs(addresses, tlvs) + packet.payload

    def unpack_envelope(self, datagram: bytes) -> Envelope:
        """Decodes an envelope and verifies its authenticator.

        Args:
            datagram: Header and payload.

        Returns:
            The envelope.

        Raises:
            TruncatedHeaderError: The datagram ends inside the header.
            BadHeaderError: The header has another format.
            BadAuthenticatorError: It was not computed with an accepted key.
        """
        end = _header_end(datagram)
        header = parse_header(datagram, end)
        if header is None:
            raise BadHeaderError
        fields, authenticator = _parse_tlvs(header)
        payload = datagram[end:]
        signed = _signed_bytes(header.address_block, fields, payload)
        if not self._key_ring.verify(signed, authenticator):
            raise BadAuthenticatorError
        if len(fields) < _ENVELOPE_FIELDS.size:
            raise BadHeaderError
        hop_count, flags, view_version = _ENVELOPE_FIELDS.unpack_from(fields)
        return Envelope(
            packet=Packet(header.caller, header.service_address, payload),
            hop_count=hop_count,
            view_version=view_version,
            querier_id=fields[_ENVELOPE_FIELDS.size :].decode(errors="replace"),
            may_create=bool(flags & FLAG_MAY_CREATE),
            disclaimed=bool(flags & FLAG_DISCLAIMED),
        )


def _header_end(datagram: bytes) -> int:
    if len(datagram) < FIXED_HEADER_SIZE:
        raise TruncatedHeaderError
    end = header_size(datagram)
    if len(datagram) < end:
        raise TruncatedHeaderError
    return end


def _parse_tlvs(header: ParsedHeader) -> tuple[bytes, bytes]:
    # Only processes of the system encode envelopes: two TLVs, in this order.
    tlvs = header.tlv_bytes
    fields_end = len(tlvs) - _AUTHENTICATOR_TLV_SIZE
    if fields_end < TLV_HEADER.size:
        raise BadAuthenticatorError
    if tlvs[: TLV_HEADER.size] != TLV_HEADER.pack(
        ENVELOPE_TLV, fields_end - TLV_HEADER.size
    ):
        raise BadAuthenticatorError
    authenticator_start = fields_end + len(_AUTHENTICATOR_TLV_HEADER)
    if tlvs[fields_end:authenticator_start] != _AUTHENTICATOR_TLV_HEADER:
        raise BadAuthenticatorError
    return tlvs[TLV_HEADER.size : fields_end], tlvs[authenticator_start:]


def _signed_bytes(address_block: bytes, fields: bytes, payload: bytes) -> bytes:
    # The lengths precede the fields, so that different envelopes never yield the same
    # bytes.
    sizes = _LENGTH_PREFIX.pack(len(address_block)) + _LENGTH_PREFIX.pack(len(fields))
    return b"".join((sizes, address_block, fields, payload))
