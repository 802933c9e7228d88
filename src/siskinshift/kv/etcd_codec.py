"""Documents of etcd's v3 JSON gateway."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING
from typing import Any

import orjson

from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Entry
from siskinshift.kv.port import Put
from siskinshift.kv.port import Snapshot
from siskinshift.kv.port import WatchBatch


if TYPE_CHECKING:
    from siskinshift.kv.port import Compare
    from siskinshift.kv.port import Operation


# Raised while decoding a document with an unexpected structure.
MALFORMED_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
    binascii.Error,
)


def encode_base64(data: bytes) -> str:
    """Encodes bytes as the JSON mapping has them.

    Args:
        data: The bytes.
    """
    return base64.b64encode(data).decode()


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def prefix_range(prefix: str) -> dict[str, str]:
    """Encodes the range of all keys with a prefix.

    Args:
        prefix: The prefix, not empty.
    """
    key = prefix.encode()
    range_end = key[:-1] + bytes([key[-1] + 1])
    return {"key": encode_base64(key), "range_end": encode_base64(range_end)}


def encode_compare(compare: Compare) -> dict[str, str]:
    """Encodes a condition of a transaction.

    Args:
        compare: The condition.
    """
    return {
        "key": encode_base64(compare.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.revision),
    }


def encode_operation(operation: Operation) -> dict[str, Any]:
    """Encodes a write or deletion of a transaction.

    Args:
        operation: The operation.
    """
    key = encode_base64(operation.key.encode())
    if not isinstance(operation, Put):
        return {"request_delete_range": {"key": key}}
    put = {"key": key, "value": encode_base64(operation.value)}
    if operation.lease_id:
        put["lease"] = str(operation.lease_id)
    return {"request_put": put}


def decode_revision(response: dict[str, Any]) -> int:
    """Decodes the revision in the header of a response.

    Args:
        response: The JSON object.

    Returns:
        The revision; one of MALFORMED_ERRORS is raised if there is none.
    """
    revision = int(response["header"]["revision"])
    if revision <= 0:
        raise ValueError("revision is not positive")
    return revision


def decode_snapshot(response: dict[str, Any], *, generation: int) -> Snapshot:
    """Decodes the response to a read.

    Args:
        response: The JSON object.
        generation: Generation of the response.

    Returns:
        The entries.

    Raises:
        StoreUnavailableError: The response is malformed.
    """
    try:
        entries = tuple(
            _decode_entry(item, generation) for item in response.get("kvs") or ()
        )
        return Snapshot(entries, decode_revision(response), generation)
    except MALFORMED_ERRORS as error:
        raise StoreUnavailableError("answer can't be read") from error


def _decode_entry(item: dict[str, str], generation: int) -> Entry:
    return Entry(
        key=_decode_base64(item["key"]).decode(),
        value=_decode_base64(item.get("value", "")),
        revision=int(item["mod_revision"]),
        generation=generation,
    )


def decode_batch(line: bytes, *, generation: int) -> WatchBatch:
    """Decodes one line of a watch.

    Args:
        line: The line.
        generation: Generation of the response.

    Returns:
        The changes.

    Raises:
        StoreCompactedError: The start revision was compacted.
        StoreUnavailableError: The store canceled the watch, or the line is malformed.
    """
    try:
        result = orjson.loads(line)["result"]
        if int(result.get("compact_revision", "0")):
            raise StoreCompactedError("the start revision was compacted")
        if result.get("canceled"):
            raise StoreUnavailableError("the store ended the watch")
        events = result.get("events") or ()
        return WatchBatch(
            entries=tuple(
                _decode_entry(event["kv"], generation)
                for event in events
                if not _is_delete(event)
            ),
            deleted_keys=tuple(
                _decode_base64(event["kv"]["key"]).decode()
                for event in events
                if _is_delete(event)
            ),
            revision=decode_revision(result),
            generation=generation,
        )
    except MALFORMED_ERRORS as error:
        raise StoreUnavailableError("watch can't be read") from error


def _is_delete(event: dict[str, Any]) -> bool:
    return bool(event.get("type", "PUT") == "DELETE")
