"""Calls of upstreams and of the platform's prober to a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
from attrs import frozen

from siskinshift.connections.upstream_life import Heartbeat
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from siskinshift.runtime.http_server import HttpRequest


READINESS_PATH = "/ready"
_HEARTBEAT_PATH = "/Instances.Heartbeat/"
_END_PATH = "/Instances.Deregister/"
_LEAVING = "draining"
MILLISECONDS = 1000.0
MALFORMED = (AttributeError, KeyError, TypeError, ValueError)
# Answer to a call that was taken in.
ACKNOWLEDGEMENT = b"{}"


@frozen
class EndNotice:
    """An upstream says that it ends now.

    Attributes:
        upstream_id: Its incarnation.
    """

    upstream_id: str


def decode_upstream_call(request: HttpRequest) -> Heartbeat | EndNotice | None:
    """Decodes a call of an upstream.

    Args:
        request: The request.

    Returns:
        What it says, or None for a path that is not known.

    Raises:
        BadMessageError: Its body can't be read.
    """
    if request.method != "POST":
        return None
    if request.path.startswith(_END_PATH):
        return EndNotice(request.path[len(_END_PATH) :])
    if not request.path.startswith(_HEARTBEAT_PATH):
        return None
    try:
        body = orjson.loads(request.body)
        return Heartbeat(
            upstream_id=request.path[len(_HEARTBEAT_PATH) :],
            service_id=body["service"],
            sequence=int(body["seq"]),
            slots=int(body["capacity"]),
            is_leaving=body["state"] == _LEAVING,
            cold_seconds=body["warmup-left-ms"] / MILLISECONDS,
        )
    except MALFORMED as error:
        raise BadMessageError(f"heartbeat can't be read: {error!r}") from error
