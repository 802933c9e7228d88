"""Calls of upstreams and of the platform's prober to a node."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.member_documents import SLOTS_MAXIMUM
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
_END_PATH = "/Instances.Deregister/"
# Whether an upstream leaves, by what it says of its state; it may say nothing else.
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
MILLISECONDS = 1000.0
# An upstream is cold for seconds; what is beyond this was not written by one.
COLD_MS_MAXIMUM = 3_600_000
# Answer to a call that was taken in.
ACKNOWLEDGEMENT = b"{}"


def decode_upstream_call(request: HttpRequest) -> Heartbeat | Deregistration | None:
    """Decodes a call of an upstream.

    Args:
        request: The request.

    Returns:
        What it says, or None for a path that is not known.

    Raises:
        BadMessageError: It can't be read, so that it names no upstream.
    """
    if request.method != "POST":
        return None
    if request.path.startswith(_END_PATH):
        # An end may come without a body.
        body = parse_object(request.body) if request.body else {}
        return Deregistration(_incarnation(request.path[len(_END_PATH) :], body))
    if request.path.startswith(_HEARTBEAT_PATH):
        body = parse_object(request.body)
        return _decode_heartbeat(request.path[len(_HEARTBEAT_PATH) :], body)
    return None


def _decode_heartbeat(upstream_id: str, body: dict[str, Any]) -> Heartbeat:
    state = get_string(body, "state")
    if state not in _IS_LEAVING_BY_STATE:
        raise BadMessageError(f"state: {state!r}; allowed: ready, draining")
    cold_ms = get_number(body, "warmup-left-ms", maximum=COLD_MS_MAXIMUM)
    return Heartbeat(
        incarnation=_incarnation(upstream_id, body),
        service_id=get_string(body, "service"),
        sequence=get_integer(body, "seq"),
        slots=get_integer(body, "capacity", minimum=1, maximum=SLOTS_MAXIMUM),
        is_leaving=_IS_LEAVING_BY_STATE[state],
        cold_seconds=cold_ms / MILLISECONDS,
    )


def _incarnation(upstream_id: str, body: dict[str, Any]) -> Incarnation:
    get_string({"id": upstream_id}, "id")
    # `born` is when the upstream's process started. Some upstreams do not tell it.
    started_ms = get_integer(body, "born") if "born" in body else None
    return Incarnation(upstream_id, started_ms)
