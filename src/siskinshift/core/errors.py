"""The one closed list of error kinds and the table from kind to answer."""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen

from siskinshift.messages.core import OutcomeKind


class ErrorKind(StrEnum):
    """Everything that can go wrong, as callers and operators are told."""

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
    # Processes among themselves.
    PEER_UNREACHABLE = "peer_unreachable"
    BAD_MESSAGE = "bad_message"
    INTERNAL = "internal"


@frozen
class Answer:
    """How an error kind is told to each sort of client.

    Attributes:
        outcome: What it says of a caller's request.
        http_status: Status for HTTP clients.
        grpc_code: Name of the status code for gRPC clients.
        exit_code: Exit status of the command line.
        retryable: Whether the same call may succeed later.
    """

    outcome: OutcomeKind
    http_status: int
    grpc_code: str
    exit_code: int
    retryable: bool


_NOT_RUN = OutcomeKind.NOT_RUN
_UNKNOWN = OutcomeKind.UNKNOWN

ERROR_RESPONSES_BY_KIND: dict[ErrorKind, Answer] = {
    ErrorKind.INVALID_ARGUMENT: Answer(_NOT_RUN, 400, "INVALID_ARGUMENT", 2, False),
    ErrorKind.NOT_FOUND: Answer(_NOT_RUN, 404, "NOT_FOUND", 3, False),
    ErrorKind.ALREADY_EXISTS: Answer(_NOT_RUN, 409, "ALREADY_EXISTS", 4, False),
    ErrorKind.REVISION_CONFLICT: Answer(_NOT_RUN, 409, "ABORTED", 5, False),
    ErrorKind.TOO_LARGE: Answer(_NOT_RUN, 413, "INVALID_ARGUMENT", 2, False),
    ErrorKind.UNAUTHENTICATED: Answer(_NOT_RUN, 401, "UNAUTHENTICATED", 6, False),
    ErrorKind.FORBIDDEN: Answer(_NOT_RUN, 403, "PERMISSION_DENIED", 6, False),
    ErrorKind.OUTCOME_UNKNOWN: Answer(_UNKNOWN, 504, "UNKNOWN", 7, False),
    ErrorKind.STORE_UNAVAILABLE: Answer(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.STALE_LEASE: Answer(_NOT_RUN, 409, "FAILED_PRECONDITION", 5, True),
    ErrorKind.SETTINGS: Answer(_NOT_RUN, 400, "INVALID_ARGUMENT", 2, False),
    ErrorKind.OVERLOADED: Answer(_NOT_RUN, 503, "RESOURCE_EXHAUSTED", 8, True),
    ErrorKind.CALLER_LIMITED: Answer(_NOT_RUN, 429, "RESOURCE_EXHAUSTED", 8, True),
    ErrorKind.QUEUE_TIMEOUT: Answer(_NOT_RUN, 503, "RESOURCE_EXHAUSTED", 8, True),
    ErrorKind.DEADLINE_EXCEEDED: Answer(_NOT_RUN, 504, "DEADLINE_EXCEEDED", 8, False),
    ErrorKind.DRAINING: Answer(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.NO_UPSTREAM: Answer(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.CANCELLED: Answer(_NOT_RUN, 499, "CANCELLED", 9, False),
    ErrorKind.UPSTREAM_FAILED: Answer(_UNKNOWN, 502, "UNKNOWN", 7, False),
    ErrorKind.UPSTREAM_TIMEOUT: Answer(_UNKNOWN, 504, "UNKNOWN", 7, False),
    ErrorKind.CANCELLED_RUNNING: Answer(_UNKNOWN, 499, "CANCELLED", 9, False),
    ErrorKind.TRUNCATED_HEADER: Answer(_NOT_RUN, 400, "INVALID_ARGUMENT", 2, False),
    ErrorKind.BAD_HEADER: Answer(_NOT_RUN, 400, "INVALID_ARGUMENT", 2, False),
    ErrorKind.BAD_AUTHENTICATOR: Answer(_NOT_RUN, 401, "UNAUTHENTICATED", 6, False),
    ErrorKind.WRONG_SERVICE: Answer(_NOT_RUN, 421, "FAILED_PRECONDITION", 5, False),
    ErrorKind.UNKNOWN_ADDRESS: Answer(_NOT_RUN, 404, "NOT_FOUND", 3, False),
    ErrorKind.HOP_LIMIT: Answer(_NOT_RUN, 508, "UNAVAILABLE", 8, True),
    ErrorKind.NO_MEMBER: Answer(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.HELD_TOO_LONG: Answer(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.FLOW_LIMIT: Answer(_NOT_RUN, 503, "RESOURCE_EXHAUSTED", 8, True),
    ErrorKind.UNKNOWN_CONNECTION: Answer(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.PEER_UNREACHABLE: Answer(_NOT_RUN, 503, "UNAVAILABLE", 8, True),
    ErrorKind.BAD_MESSAGE: Answer(_NOT_RUN, 400, "INVALID_ARGUMENT", 2, False),
    ErrorKind.INTERNAL: Answer(_UNKNOWN, 500, "INTERNAL", 1, False),
}
