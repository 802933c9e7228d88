"""Errors of datagram headers."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class WireError(SiskinshiftError):
    """A datagram that is dropped because of its header."""


class TruncatedHeaderError(WireError):
    """The datagram ends inside its header."""

    kind = ErrorKind.TRUNCATED_HEADER


class BadHeaderError(WireError):
    """The datagram has no PROXY protocol v2 header of the kind used here."""

    kind = ErrorKind.BAD_HEADER


class BadAuthenticatorError(WireError):
    """The authenticator is missing or was made without a key."""

    kind = ErrorKind.BAD_AUTHENTICATOR
