"""Errors of the agent."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class UnknownCredentialError(SiskinshiftError):
    """The request has no valid token of a group of the service."""

    kind = ErrorKind.UNAUTHENTICATED


class BadRequestError(SiskinshiftError):
    """The header fields of the request are invalid."""

    kind = ErrorKind.INVALID_ARGUMENT


class UpstreamUnreachableError(SiskinshiftError):
    """No connection to the upstream; no byte of the request was sent."""

    kind = ErrorKind.NO_UPSTREAM


class UpstreamFailedError(SiskinshiftError):
    """The request was sent to the upstream, but no complete response was received."""

    kind = ErrorKind.UPSTREAM_FAILED


class UpstreamTimeoutError(SiskinshiftError):
    """The request was sent to the upstream, which did not respond in time."""

    kind = ErrorKind.UPSTREAM_TIMEOUT
