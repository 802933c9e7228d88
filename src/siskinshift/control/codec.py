"""JSON of the messages between processes, packed when that pays."""

from __future__ import annotations

import zlib
from enum import StrEnum
from typing import Any
from typing import TypeVar

import cattrs
import orjson
from cattrs.preconf.orjson import make_converter

from siskinshift.control.exceptions import BadMessageError


MessageT = TypeVar("MessageT")

MESSAGE_SIZE_MAXIMUM = 4 << 20
# A message up to this size fits into one segment anyway.
PACK_ABOVE_BYTES = 512
# The lowest level takes a fifth of the time of the default for a tenth more bytes.
PACK_LEVEL = 1
PACKED_ENCODING = "deflate"

_converter = make_converter(
    forbid_extra_keys=False, omit_if_default=True, detailed_validation=False
)


def _exactly(kind: type, *also: type) -> None:
    """Refuses values of another JSON type, which the library would convert."""
    allowed = (kind, *also)

    def structure(value: Any, _: type) -> Any:
        if type(value) not in allowed:
            raise TypeError(f"not a {kind.__name__}")
        return value

    _converter.register_structure_hook(kind, structure)


_exactly(str)
_exactly(int)
_exactly(bool)
_exactly(float, int)
# Enums of messages derive from str, whose hook above would leave them plain text: a
# state that equals its name but is not the member, so that `is` fails.
_converter.register_structure_hook(StrEnum, lambda value, kind: kind(value))


def encode_message(message: object) -> bytes:
    """Writes a message.

    Args:
        message: An instance of a generated class.

    Returns:
        JSON in UTF-8.
    """
    return orjson.dumps(_converter.unstructure(message))


def decode_message(data: bytes, message_type: type[MessageT]) -> MessageT:
    """Reads a message; unknown keys are passed over, so that versions can mix.

    Args:
        data: JSON in UTF-8.
        message_type: The generated class.

    Returns:
        The message.

    Raises:
        BadMessageError: The bytes are no such message.
    """
    try:
        return _converter.structure(orjson.loads(data), message_type)
    except (
        orjson.JSONDecodeError,
        cattrs.BaseValidationError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ) as error:
        raise BadMessageError(f"not a {message_type.__name__}") from error


def pack(body: bytes) -> tuple[bytes, str]:
    """Packs a message body when it is long.

    Args:
        body: JSON.

    Returns:
        The body to send and its content encoding, "" for none.
    """
    if len(body) <= PACK_ABOVE_BYTES:
        return body, ""
    return zlib.compress(body, PACK_LEVEL), PACKED_ENCODING


def unpack(body: bytes, encoding: str) -> bytes:
    """Undoes `pack`.

    Args:
        body: The body as it arrived.
        encoding: Its content encoding.

    Returns:
        JSON.

    Raises:
        BadMessageError: The body is not packed so, or is too long unpacked.
    """
    if not encoding:
        return body
    if encoding != PACKED_ENCODING:
        raise BadMessageError("unknown content encoding")
    unpacker = zlib.decompressobj()
    try:
        # Failure: a few packed bytes that unpack to gigabytes. The bound holds
        # while unpacking, before the memory is taken.
        data = unpacker.decompress(body, MESSAGE_SIZE_MAXIMUM)
    except zlib.error as error:
        raise BadMessageError("not packed as it says") from error
    if not unpacker.eof:
        raise BadMessageError("cut short or too long unpacked")
    return data
