"""Documents of the platform's key-value service."""

from __future__ import annotations

import base64
import binascii
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_objects
from siskinshift.control.documents import get_string
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.generations import GENERATION_HEADER
from siskinshift.kv.generations import UNKNOWN_GENERATION
from siskinshift.kv.port import Entry


if TYPE_CHECKING:
    from siskinshift.core.http import HttpResponse
    from siskinshift.kv.port import Put


# Raised while decoding a document with an unexpected structure.
MALFORMED_ERRORS = (BadMessageError, KeyError, TypeError, ValueError, binascii.Error)


def response_generation(response: HttpResponse) -> int:
    """Returns the generation of a response that `PlatformStore.exchange` returned.

    Args:
        response: The response.
    """
    return int(response.headers.get(GENERATION_HEADER, UNKNOWN_GENERATION))


def decode_document(response: HttpResponse) -> dict[str, Any]:
    """Decodes the body of a successful response.

    Args:
        response: The response.

    Returns:
        The JSON object.

    Raises:
        StoreUnavailableError: The store refused the request, or the body is malformed.
    """
    if response.status != HTTPStatus.OK:
        raise StoreUnavailableError(f"refused with status {response.status}")
    try:
        return parse_object(response.body)
    except BadMessageError as error:
        raise StoreUnavailableError("response is not a JSON object") from error


def decode_entry(item: dict[str, Any], *, generation: int) -> Entry:
    """Decodes an entry or an event.

    Args:
        item: Its JSON object.
        generation: Generation of the response.

    Returns:
        The entry.

    Raises:
        StoreUnavailableError: A field is missing or malformed.
    """
    try:
        return Entry(
            key=get_string(item, "key"),
            value=base64.b64decode(item["value"], validate=True),
            revision=get_integer(item, "revision"),
            generation=generation,
        )
    except MALFORMED_ERRORS as error:
        raise StoreUnavailableError("malformed entry") from error


def decode_revisions(response: HttpResponse, keys: set[str]) -> dict[str, int]:
    """Decodes the current revisions in the response to a failed condition.

    Args:
        response: The response.
        keys: Keys of the conditions.

    Returns:
        Revision of each key, 0 for an absent one; empty if the body is malformed.
    """
    try:
        items = get_objects(parse_object(response.body), "items")
        revisions_by_key = {
            get_string(item, "key"): get_integer(item, "revision") for item in items
        }
    except MALFORMED_ERRORS:
        # The caller reads the revisions instead.
        return {}
    return {key: revisions_by_key.get(key, 0) for key in keys}


def encode_put(put: Put) -> dict[str, Any]:
    """Encodes a write of a transaction.

    Args:
        put: The write.
    """
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease_id}
