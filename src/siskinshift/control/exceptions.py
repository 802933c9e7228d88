"""Errors between the system's processes."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class BadMessageError(SiskinshiftError):
    """A message that can't be read."""

    kind = ErrorKind.BAD_MESSAGE


class PeerUnreachableError(SiskinshiftError):
    """A peer that did not answer in time, or answered with an error."""

    kind = ErrorKind.PEER_UNREACHABLE
