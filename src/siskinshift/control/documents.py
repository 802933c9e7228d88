"""Fields of JSON documents that any writer may have got wrong.

A number sent as text, a boolean where a count belongs, a fraction, a figure beyond all
measure: Python would take most of them and fail later, elsewhere. Each reader here
takes one type and one range and names the field that is wrong.

The standard library's parser, since nodes load this: the one that other parts use
loads `inspect`, `dataclasses` and `uuid` with it, a sixth of a node's start.
"""

from __future__ import annotations

import json
import math
from typing import Any

from siskinshift.control.exceptions import BadMessageError


# Counts and times beyond this are nonsense, and do not fit into packed messages.
WHOLE_MAXIMUM = (1 << 53) - 1
TEXT_SIZE_MAXIMUM = 200
# A document may be a megabyte; its line in the log may not.
SHOWN_SIZE_MAXIMUM = 60


_encoder = json.JSONEncoder(separators=(",", ":"))


def encode_json(value: object) -> bytes:
    """Writes a JSON document without spaces.

    Args:
        value: Tables, lists, texts, numbers, booleans, None.

    Returns:
        Its bytes.
    """
    return _encoder.encode(value).encode()


def parse_object(data: bytes) -> dict[str, Any]:
    """Parses a JSON object.

    Args:
        data: Its bytes.

    Returns:
        The object.

    Raises:
        BadMessageError: It is none.
    """
    try:
        return as_table(json.loads(data))
    except (ValueError, RecursionError) as error:
        raise BadMessageError(f"no JSON: {str(error)[:SHOWN_SIZE_MAXIMUM]}") from error


def as_table(value: object) -> dict[str, Any]:
    """Takes a JSON object.

    Raises:
        BadMessageError: It is something else.
    """
    if not isinstance(value, dict):
        raise _fault("document", value, "an object")
    return value


def get_object(document: dict[str, Any], name: str) -> dict[str, Any]:
    """Reads a field that is an object.

    Raises:
        BadMessageError: It is missing or something else.
    """
    value = document.get(name)
    if not isinstance(value, dict):
        raise _fault(name, value, "an object")
    return value


def get_objects(document: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Reads a field that is a list of objects.

    Raises:
        BadMessageError: It is missing or something else.
    """
    value = document.get(name)
    if not isinstance(value, list):
        raise _fault(name, value, "a list")
    return [as_table(row) for row in value]


def get_string(
    document: dict[str, Any], name: str, *, allow_empty: bool = False
) -> str:
    """Reads a field that is a text.

    Raises:
        BadMessageError: It is missing, empty without leave, too long or something else.
    """
    value = document.get(name)
    if not isinstance(value, str) or len(value) > TEXT_SIZE_MAXIMUM:
        raise _fault(name, value, "a short text")
    if not value.isprintable():
        # Among others the halves of a character that no encoding takes.
        raise _fault(name, value, "a text that can be printed")
    if not value and not allow_empty:
        raise _fault(name, value, "a text")
    return value


def get_integer(
    document: dict[str, Any],
    name: str,
    *,
    minimum: int = 0,
    maximum: int = WHOLE_MAXIMUM,
) -> int:
    """Reads a field that is a whole number.

    Raises:
        BadMessageError: It is missing, out of range or something else.
    """
    value: Any = document.get(name)
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    if not is_whole or not minimum <= value <= maximum:
        raise _fault(name, value, f"a whole number from {minimum} to {maximum}")
    return int(value)


def get_number(document: dict[str, Any], name: str, *, maximum: float) -> float:
    """Reads a field that is a number from zero on, a fraction or not.

    Raises:
        BadMessageError: It is missing, out of range or something else.
    """
    value: Any = document.get(name)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or math.isnan(value) or not 0 <= value <= maximum:
        raise _fault(name, value, f"a number from 0 to {maximum}")
    return float(value)


def _fault(name: str, value: object, allowed: str) -> BadMessageError:
    shown = repr(value)[:SHOWN_SIZE_MAXIMUM]
    return BadMessageError(f"{name}: {shown}; allowed: {allowed}")
