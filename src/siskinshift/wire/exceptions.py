"""Errors in datagram headers."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class WireError(SiskinshiftError):
    """A datagram is dropped because of its header."""


class TruncatedHeaderError(WireError):
    """The datagram ends inside its header."""

    kind = ErrorKind.TRUNCATED_HEADER


class BadHeaderError(WireError):
    """The datagram has no PROXY protocol v2 header in a supported format."""

    kind = ErrorKind.BAD_HEADER


class BadAuthenticatorError(WireError):
    """The authenticator is missing or was not computed with an accepted key."""

    kind = ErrorKind.BAD_AUTHENTICATOR
