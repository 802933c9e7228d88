"""Encodes messages between processes as JSON and compresses long ones."""

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

MAX_MESSAGE_SIZE = 4 << 20
# Smaller messages fit into one segment without compression.
COMPRESSION_THRESHOLD_BYTES = 512
# The lowest level takes a fifth of the time of the default for a tenth more bytes.
COMPRESSION_LEVEL = 1
COMPRESSED_ENCODING = "deflate"

_converter = make_converter(
    forbid_extra_keys=False, omit_if_default=True, detailed_validation=False
)


def _register_strict_hook(kind: type, *others: type) -> None:
    """Rejects values of other JSON types, which cattrs would convert."""
    allowed = (kind, *others)

    def structure(value: Any, _: type) -> Any:
        if type(value) not in allowed:
            raise TypeError(f"not a {kind.__name__}")
        return value

    _converter.register_structure_hook(kind, structure)


_register_strict_hook(str)
_register_strict_hook(int)
_register_strict_hook(bool)
_register_strict_hook(float, int)
# Enums of messages derive from str. The hook for str would decode them as plain
# strings, which are equal to the enum members but fail comparisons with `is`.
_converter.register_structure_hook(StrEnum, lambda value, kind: kind(value))


def encode_message(message: object) -> bytes:
    """Encodes a message.

    Args:
        message: An instance of a generated class.

    Returns:
        JSON in UTF-8.
    """
    return orjson.dumps(_converter.unstructure(message))


def decode_message(data: bytes, message_type: type[MessageT]) -> MessageT:
    """Decodes a message; ignores unknown keys, so that versions can be mixed.

    Args:
        data: JSON in UTF-8.
        message_type: The generated class.

    Returns:
        The message.

    Raises:
        BadMessageError: The data is not a valid message of this class.
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


def compress_body(body: bytes) -> tuple[bytes, str]:
    """Compresses a message body longer than COMPRESSION_THRESHOLD_BYTES.

    Args:
        body: JSON.

    Returns:
        The body to send and its content encoding; "" for none.
    """
    if len(body) <= COMPRESSION_THRESHOLD_BYTES:
        return body, ""
    return zlib.compress(body, COMPRESSION_LEVEL), COMPRESSED_ENCODING


def decompress_body(body: bytes, encoding: str) -> bytes:
    """Decompresses a message body, the inverse of `compress_body`.

    Args:
        body: Body as received.
        encoding: Content encoding; "" for none.

    Returns:
        JSON.

    Raises:
        BadMessageError: The encoding is unknown, or the body is damaged or too long
            when decompressed.
    """
    if not encoding:
        return body
    if encoding != COMPRESSED_ENCODING:
        raise BadMessageError("unknown content encoding")
    decompressor = zlib.decompressobj()
    try:
        # Guards against a few compressed bytes that expand to gigabytes: the limit
        # applies during decompression, before the memory is allocated.
        data = decompressor.decompress(body, MAX_MESSAGE_SIZE)
    except zlib.error as error:
        raise BadMessageError("not packed as it says") from error
    if not decompressor.eof:
        raise BadMessageError("cut short or too long unpacked")
    return data
