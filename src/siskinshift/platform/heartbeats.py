"""Paths and messages of upstreams' heartbeats and of the platform's readiness probe."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.member_documents import MAX_SERVICE_ID_LENGTH
from siskinshift.connections.member_documents import MAX_SLOTS
from siskinshift.connections.upstream_state import Deregistration
from siskinshift.connections.upstream_state import Heartbeat
from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_number
from siskinshift.control.documents import get_string
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from siskinshift.runtime.http_server import HttpRequest


READINESS_PATH = "/ready"
_HEARTBEAT_PATH = "/Instances.Heartbeat/"
_DEREGISTRATION_PATH = "/Instances.Deregister/"
# Whether an upstream is leaving, by its reported state. Other states are invalid.
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
MILLISECONDS_PER_SECOND = 1000.0
# An upstream is cold for seconds, so a larger value is invalid.
MAX_COLD_MS = 3_600_000
# Response body to an accepted request.
ACKNOWLEDGEMENT = b"{}"


def decode_upstream_request(request: HttpRequest) -> Heartbeat | Deregistration | None:
    """Decodes an HTTP request of an upstream.

    Args:
        request: The request.

    Returns:
        The message, or None for an unknown method or path.

    Raises:
        BadMessageError: It is malformed, so its upstream is unknown.
    """
    if request.method != "POST":
        return None
    if request.path.startswith(_DEREGISTRATION_PATH):
        # The body of a deregistration is optional.
        body = parse_object(request.body) if request.body else {}
        return Deregistration(
            _decode_incarnation(request.path[len(_DEREGISTRATION_PATH) :], body)
        )
    if request.path.startswith(_HEARTBEAT_PATH):
        body = parse_object(request.body)
        return _decode_heartbeat(request.path[len(_HEARTBEAT_PATH) :], body)
    return None


def _decode_heartbeat(upstream_id: str, body: dict[str, Any]) -> Heartbeat:
    state = get_string(body, "state")
    if state not in _IS_LEAVING_BY_STATE:
        raise BadMessageError(f"state: {state!r}; allowed: ready, draining")
    cold_ms = get_number(body, "warmup-left-ms", maximum=MAX_COLD_MS)
    return Heartbeat(
        incarnation=_decode_incarnation(upstream_id, body),
        service_id=get_string(body, "service", max_length=MAX_SERVICE_ID_LENGTH),
        sequence=get_integer(body, "seq"),
        slots=get_integer(body, "capacity", minimum=1, maximum=MAX_SLOTS),
        is_leaving=_IS_LEAVING_BY_STATE[state],
        cold_seconds=cold_ms / MILLISECONDS_PER_SECOND,
    )


def _decode_incarnation(upstream_id: str, body: dict[str, Any]) -> Incarnation:
    get_string({"id": upstream_id}, "id")
    # `born` is the start time of the upstream's process. Some upstreams omit it.
    started_ms = get_integer(body, "born") if "born" in body else None
    return Incarnation(upstream_id, started_ms)
