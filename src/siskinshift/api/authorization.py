"""Authorizes calls of the operators' API by their bearer token.

Operator tokens permit reads and changes, viewer tokens permit reads only.
"""

from __future__ import annotations

import hmac
from enum import StrEnum
from typing import TYPE_CHECKING

from siskinshift.api.exceptions import ForbiddenError
from siskinshift.api.exceptions import UnauthenticatedError
from siskinshift.api.protocol import AUTHORIZATION_KEY
from siskinshift.api.protocol import BEARER_PREFIX


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.settings.generated import ApiSettings
    from siskinshift.settings.options import Secret


class Permission(StrEnum):
    """Permission that a call requires."""

    READ = "read"
    CHANGE = "change"


class TokenAuthorizer:
    """Checks bearer tokens against the configured operator and viewer tokens."""

    def __init__(self, settings: ApiSettings) -> None:
        self._operator_tokens = settings.operator_tokens
        self._viewer_tokens = settings.viewer_tokens

    def authorize(
        self, metadata: Iterable[tuple[str, str | bytes]], permission: Permission
    ) -> None:
        """Checks that a call carries a token with the required permission.

        Args:
            metadata: Metadata of the call.
            permission: Permission that the call requires.

        Raises:
            UnauthenticatedError: The call carries no configured token.
            ForbiddenError: The token lacks the permission.
        """
        token = _bearer_token(metadata)
        if _matches_any(token, self._operator_tokens):
            return
        if not _matches_any(token, self._viewer_tokens):
            raise UnauthenticatedError("a known bearer token is needed")
        if permission is Permission.CHANGE:
            raise ForbiddenError("this token may read only")


def _bearer_token(metadata: Iterable[tuple[str, str | bytes]]) -> bytes:
    for key, value in metadata:
        if key != AUTHORIZATION_KEY:
            continue
        text = value.decode("latin-1") if isinstance(value, bytes) else value
        if text.startswith(BEARER_PREFIX):
            return text.removeprefix(BEARER_PREFIX).encode()
    return b""


def _matches_any(token: bytes, secrets: tuple[Secret, ...]) -> bool:
    # Compares with every secret, each in constant time, so that the response time
    # reveals neither a prefix of a token nor which token matched.
    matches = [hmac.compare_digest(token, secret.value.encode()) for secret in secrets]
    return any(matches)
