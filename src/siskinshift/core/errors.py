"""Defines all error kinds and how each is reported to clients."""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen

from siskinshift.messages.core import OutcomeKind


class ErrorKind(StrEnum):
    """Kinds of errors that callers and operators receive."""

    # Operators.
    INVALID_ARGUMENT = "invalid_argument"
    NOT_FOUND = "not_found"
    ALREADY_EXISTS = "already_exists"
    REVISION_CONFLICT = "revision_conflict"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    STALE_LEASE = "stale_lease"
    SETTINGS = "settings"
    # Requests that did not run.
    OVERLOADED = "overloaded"
    CALLER_LIMITED = "caller_limited"
    QUEUE_TIMEOUT = "queue_timeout"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    DRAINING = "draining"
    NO_UPSTREAM = "no_upstream"
    CANCELLED = "cancelled"
    # Requests that may have run.
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    CANCELLED_RUNNING = "cancelled_running"
    # Datagrams.
    TRUNCATED_HEADER = "truncated_header"
    BAD_HEADER = "bad_header"
    BAD_AUTHENTICATOR = "bad_authenticator"
    WRONG_SERVICE = "wrong_service"
    UNKNOWN_ADDRESS = "unknown_address"
    HOP_LIMIT = "hop_limit"
    NO_MEMBER = "no_member"
    HELD_TOO_LONG = "held_too_long"
    FLOW_LIMIT = "flow_limit"
    UNKNOWN_CONNECTION = "unknown_connection"
    # Communication between processes.
    PEER_UNREACHABLE = "peer_unreachable"
    BAD_MESSAGE = "bad_message"
    INTERNAL = "internal"


@frozen
class ErrorResponse:
    """How an error kind is reported on each client interface.

    Attributes:
        outcome: Outcome of the caller's request.
        http_status: Status code for HTTP clients.
        grpc_code: Name of the status code for gRPC clients.
        exit_code: Exit status of the command line.
        retryable: Whether the same request may succeed later.
    """

    outcome: OutcomeKind
    http_status: int
    grpc_code: str
    exit_code: int
    retryable: bool


_NOT_RUN = OutcomeKind.NOT_RUN
_UNKNOWN = OutcomeKind.UNKNOWN

ERROR_RESPONSES_BY_KIND: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.INVALID_ARGUMENT: ErrorResponse(
        _NOT_RUN, 400, "INVALID_ARGUMENT", 2, False
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(_NOT_RUN, 404, "NOT_FOUND", 3, False),
    ErrorKind.ALREADY_EXISTS: ErrorResponse(_NOT_RUN, 409, "ALREADY_EXISTS", 4, False),
    ErrorKind.REVISION_CONFLICT: ErrorResponse(_NOT_RUN, 409, "ABORTED", 5, False),
    ErrorKind.TOO_LARGE: ErrorResponse(_NOT_RUN, 413, "INVALID_ARGUMENT", 2, False),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        _NOT_RUN, 401, "UNAUTHENTICATED", 6, False
    ),
    ErrorKind.FORBIDDEN: ErrorResponse(_NOT_RUN, 403, "PERMISSION_DENIED", 6, False),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(_UNKNOWN, 504, "UNKNOWN", 7, False),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.STALE_LEASE: ErrorResponse(_NOT_RUN, 409, "FAILED_PRECONDITION", 5, True),
    ErrorKind.SETTINGS: ErrorResponse(_NOT_RUN, 400, "INVALID_ARGUMENT", 2, False),
    ErrorKind.OVERLOADED: ErrorResponse(_NOT_RUN, 503, "RESOURCE_EXHAUSTED", 8, True),
    ErrorKind.CALLER_LIMITED: ErrorResponse(
        _NOT_RUN, 429, "RESOURCE_EXHAUSTED", 8, True
    ),
    ErrorKind.QUEUE_TIMEOUT: ErrorResponse(
        _NOT_RUN, 503, "RESOURCE_EXHAUSTED", 8, True
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(
        _NOT_RUN, 504, "DEADLINE_EXCEEDED", 8, False
    ),
    ErrorKind.DRAINING: ErrorResponse(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.NO_UPSTREAM: ErrorResponse(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.CANCELLED: ErrorResponse(_NOT_RUN, 499, "CANCELLED", 9, False),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(_UNKNOWN, 502, "UNKNOWN", 7, False),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorResponse(_UNKNOWN, 504, "UNKNOWN", 7, False),
    ErrorKind.CANCELLED_RUNNING: ErrorResponse(_UNKNOWN, 499, "CANCELLED", 9, False),
    ErrorKind.TRUNCATED_HEADER: ErrorResponse(
        _NOT_RUN, 400, "INVALID_ARGUMENT", 2, False
    ),
    ErrorKind.BAD_HEADER: ErrorResponse(_NOT_RUN, 400, "INVALID_ARGUMENT", 2, False),
    ErrorKind.BAD_AUTHENTICATOR: ErrorResponse(
        _NOT_RUN, 401, "UNAUTHENTICATED", 6, False
    ),
    ErrorKind.WRONG_SERVICE: ErrorResponse(
        _NOT_RUN, 421, "FAILED_PRECONDITION", 5, False
    ),
    ErrorKind.UNKNOWN_ADDRESS: ErrorResponse(_NOT_RUN, 404, "NOT_FOUND", 3, False),
    ErrorKind.HOP_LIMIT: ErrorResponse(_NOT_RUN, 508, "UNAVAILABLE", 8, True),
    ErrorKind.NO_MEMBER: ErrorResponse(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.HELD_TOO_LONG: ErrorResponse(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.FLOW_LIMIT: ErrorResponse(_NOT_RUN, 503, "RESOURCE_EXHAUSTED", 8, True),
    ErrorKind.UNKNOWN_CONNECTION: ErrorResponse(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.PEER_UNREACHABLE: ErrorResponse(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.BAD_MESSAGE: ErrorResponse(_NOT_RUN, 400, "INVALID_ARGUMENT", 2, False),
    ErrorKind.INTERNAL: ErrorResponse(_UNKNOWN, 500, "INTERNAL", 1, False),
}
