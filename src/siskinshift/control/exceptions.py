"""Errors of communication between processes."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class BadMessageError(SiskinshiftError):
    """A message that can't be decoded."""

    kind = ErrorKind.BAD_MESSAGE


class PeerUnreachableError(SiskinshiftError):
    """A peer that did not reply in time or replied with an error."""

    kind = ErrorKind.PEER_UNREACHABLE
