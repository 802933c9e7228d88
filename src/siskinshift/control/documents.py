"""Parses JSON documents and validates their fields.

Documents come from other systems and may hold a number as a string, a boolean instead
of a count, a fraction or a number out of range. Python would accept most of these and
fail later, so each getter accepts one type and one range and names the invalid field.

Uses the parser of the standard library, because nodes load this module. The parser of
the other packages imports `inspect`, `dataclasses` and `uuid`, which takes a sixth of a
node's start time.
"""

from __future__ import annotations

import json
import math
import sys
from typing import Any

from siskinshift.control.exceptions import BadMessageError


# Larger counts and times are invalid and do not fit into binary messages.
MAX_INTEGER = (1 << 53) - 1
MAX_STRING_LENGTH = 200
# Limits the length of log lines; a document may be a megabyte.
MAX_LOGGED_LENGTH = 60


_encoder = json.JSONEncoder(separators=(",", ":"))


def encode_json(value: object) -> bytes:
    """Encodes a JSON document without spaces.

    Args:
        value: Objects, lists, strings, numbers, booleans, None.

    Returns:
        Encoded document.
    """
    return _encoder.encode(value).encode()


def parse_object(data: bytes) -> dict[str, Any]:
    """Parses a JSON object.

    Args:
        data: Encoded document.

    Returns:
        The object.

    Raises:
        BadMessageError: The document is not a JSON object.
    """
    try:
        return as_object(json.loads(data))
    except (ValueError, RecursionError) as error:
        raise BadMessageError(
            f"invalid JSON: {str(error)[:MAX_LOGGED_LENGTH]}"
        ) from error


def as_object(value: object) -> dict[str, Any]:
    """Returns a value that must be a JSON object.

    Raises:
        BadMessageError: The value is of another type.
    """
    if not isinstance(value, dict):
        raise _invalid_field("document", value, "an object")
    return value


def get_object(document: dict[str, Any], name: str) -> dict[str, Any]:
    """Returns a field that must be an object.

    Raises:
        BadMessageError: It is missing or of another type.
    """
    value = document.get(name)
    if not isinstance(value, dict):
        raise _invalid_field(name, value, "an object")
    return value


def get_objects(document: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Returns a field that must be a list of objects.

    Raises:
        BadMessageError: It is missing or of another type.
    """
    value = document.get(name)
    if not isinstance(value, list):
        raise _invalid_field(name, value, "a list")
    return [as_object(row) for row in value]


def get_string(
    document: dict[str, Any],
    name: str,
    *,
    allow_empty: bool = False,
    max_length: int = MAX_STRING_LENGTH,
) -> str:
    """Returns a field that must be a printable string.

    Raises:
        BadMessageError: It is missing, empty unless allowed, too long, not printable or
            of another type.
    """
    value = document.get(name)
    if not isinstance(value, str) or len(value) > max_length:
        raise _invalid_field(name, value, "a short string")
    if not value.isprintable():
        # This includes lone surrogates, which can't be encoded.
        raise _invalid_field(name, value, "a printable string")
    if not value and not allow_empty:
        raise _invalid_field(name, value, "a non-empty string")
    return value


def get_text(document: dict[str, Any], name: str) -> str:
    """Returns a field that must be a string, of any length and content.

    Raises:
        BadMessageError: It is missing, not encodable or of another type.
    """
    value = document.get(name)
    if not isinstance(value, str):
        raise _invalid_field(name, value, "a string")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise _invalid_field(name, value, "a string without surrogates") from error
    return value


def get_integer(
    document: dict[str, Any],
    name: str,
    *,
    minimum: int = 0,
    maximum: int = MAX_INTEGER,
) -> int:
    """Returns a field that must be an integer.

    Raises:
        BadMessageError: It is missing, out of range or of another type.
    """
    value: Any = document.get(name)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not minimum <= value <= maximum:
        raise _invalid_field(name, value, f"an integer from {minimum} to {maximum}")
    return int(value)


def get_number(
    document: dict[str, Any], name: str, *, maximum: float = math.inf
) -> float:
    """Returns a field that must be a non-negative number, integer or float.

    Raises:
        BadMessageError: It is missing, out of range or of another type.
    """
    value: Any = document.get(name)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or math.isnan(value) or not 0 <= value <= maximum:
        raise _invalid_field(name, value, f"a number from 0 to {maximum}")
    # An integer may be too large for a float.
    return float(min(value, sys.float_info.max))


def _invalid_field(name: str, value: object, allowed: str) -> BadMessageError:
    excerpt = repr(value)[:MAX_LOGGED_LENGTH]
    return BadMessageError(f"{name}: {excerpt}; allowed: {allowed}")
