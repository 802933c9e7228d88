"""Requests by which agents upload their flow snapshots to a balancer."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qs
from urllib.parse import urlencode

from siskinshift.connections.flow_snapshot import SnapshotUpdate
from siskinshift.connections.flow_snapshot import UploadResult
from siskinshift.control.documents import encode_json
from siskinshift.control.documents import get_integer
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError
from siskinshift.runtime.http_server import ServerResponse


if TYPE_CHECKING:
    from siskinshift.core.http import HttpResponse


# Followed by the member id of an agent; the body of the request is its snapshot.
SNAPSHOT_PATH = "/flow-list/"
# Present for a snapshot that is the same as in its last write by this writer.
_UNCHANGED = "again"
_REVISION = "revision"


def encode_update_query(update: SnapshotUpdate) -> str:
    """Encodes the query of an upload.

    Args:
        update: The uploaded snapshot.
    """
    query = {}
    if update.revision is not None:
        query[_REVISION] = str(update.revision)
    if update.is_unchanged:
        query[_UNCHANGED] = "1"
    return urlencode(query)


def decode_update(query: str, value: bytes) -> SnapshotUpdate:
    """Decodes an upload.

    Args:
        query: Query of the request; that of an older version names no revision.
        value: Body of the request.

    Returns:
        The uploaded snapshot.
    """
    fields = parse_qs(query)
    text = fields.get(_REVISION, [""])[0]
    is_known = text.isascii() and text.isdecimal()
    return SnapshotUpdate(value, int(text) if is_known else None, _UNCHANGED in fields)


def encode_result(result: UploadResult) -> ServerResponse:
    """Encodes the response to an upload.

    Args:
        result: The result.
    """
    if result.revision is None:
        return ServerResponse(HTTPStatus.SERVICE_UNAVAILABLE)
    status = HTTPStatus.OK if result.is_written else HTTPStatus.CONFLICT
    return ServerResponse(status, encode_json({_REVISION: result.revision}))


def decode_result(response: HttpResponse) -> UploadResult:
    """Decodes the response to an upload.

    Args:
        response: The response; that of an older version names no revision.

    Returns:
        The result.
    """
    if response.status not in (HTTPStatus.OK, HTTPStatus.CONFLICT):
        return UploadResult()
    try:
        revision = get_integer(parse_object(response.body), _REVISION)
    except BadMessageError:
        return UploadResult()
    return UploadResult(response.status == HTTPStatus.OK, revision)
