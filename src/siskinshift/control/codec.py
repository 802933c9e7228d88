"""JSON of the messages between processes."""

from __future__ import annotations

from typing import TypeVar

import cattrs
import orjson
from cattrs.preconf.orjson import make_converter

from siskinshift.control.exceptions import BadMessageError


MessageT = TypeVar("MessageT")

_converter = make_converter(forbid_extra_keys=False, omit_if_default=True)


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
