"""Errors of the agent."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class UnknownCredentialError(SiskinshiftError):
    """The request shows no token of any group of the service."""

    kind = ErrorKind.UNAUTHENTICATED


class BadRequestError(SiskinshiftError):
    """The request's head can't be used."""

    kind = ErrorKind.INVALID_ARGUMENT


class UpstreamUnreachableError(SiskinshiftError):
    """No connection to the upstream; no byte of the request was offered."""

    kind = ErrorKind.NO_UPSTREAM


class UpstreamFailedError(SiskinshiftError):
    """The upstream was offered the request and gave no whole answer."""

    kind = ErrorKind.UPSTREAM_FAILED


class UpstreamTimeoutError(SiskinshiftError):
    """The upstream was offered the request and gave no answer in time."""

    kind = ErrorKind.UPSTREAM_TIMEOUT
