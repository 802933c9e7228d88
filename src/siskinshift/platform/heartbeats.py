"""Paths and messages of upstreams' heartbeats and of the platform's readiness probe."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.member_documents import MAX_SLOTS
from siskinshift.connections.upstream_state import Deregistration
from siskinshift.connections.upstream_state import Heartbeat
from siskinshift.control.documents import number_of
from siskinshift.control.documents import parse_table
from siskinshift.control.documents import text_of
from siskinshift.control.documents import whole_of
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
        body = parse_table(request.body) if request.body else {}
        return Deregistration(
            _decode_incarnation(request.path[len(_DEREGISTRATION_PATH) :], body)
        )
    if request.path.startswith(_HEARTBEAT_PATH):
        body = parse_table(request.body)
        return _decode_heartbeat(request.path[len(_HEARTBEAT_PATH) :], body)
    return None


def _decode_heartbeat(upstream_id: str, body: dict[str, Any]) -> Heartbeat:
    state = text_of(body, "state")
    if state not in _IS_LEAVING_BY_STATE:
        raise BadMessageError(f"state: {state!r}; allowed: ready, draining")
    cold_ms = number_of(body, "warmup-left-ms", maximum=MAX_COLD_MS)
    return Heartbeat(
        incarnation=_decode_incarnation(upstream_id, body),
        service_id=text_of(body, "service"),
        sequence=whole_of(body, "seq"),
        slots=whole_of(body, "capacity", minimum=1, maximum=MAX_SLOTS),
        is_leaving=_IS_LEAVING_BY_STATE[state],
        cold_seconds=cold_ms / MILLISECONDS_PER_SECOND,
    )


def _decode_incarnation(upstream_id: str, body: dict[str, Any]) -> Incarnation:
    text_of({"id": upstream_id}, "id")
    # `born` is the start time of the upstream's process. Some upstreams omit it.
    started_ms = whole_of(body, "born") if "born" in body else None
    return Incarnation(upstream_id, started_ms)
