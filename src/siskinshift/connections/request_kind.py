"""Kinds of requests, which decide how a flow may be handled under load."""

from __future__ import annotations

from enum import IntEnum


class RequestKind(IntEnum):
    """Kind of the requests on a route.

    UNKNOWN: the balancer did not send the kind. IDEMPOTENT: may be repeated.
    NON_IDEMPOTENT: may run once at most. DOWNLOAD: idempotent, one request per flow, a
    long response. UPLOAD: may run once at most, one long request per flow.
    """

    UNKNOWN = 0
    IDEMPOTENT = 1
    NON_IDEMPOTENT = 2
    DOWNLOAD = 3
    UPLOAD = 4
