"""Decides what the bearer of a token may do."""

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
    """What a call needs."""

    READ = "read"
    CHANGE = "change"


class Access:
    """Knows the tokens of operators and viewers."""

    def __init__(self, settings: ApiSettings) -> None:
        self._operators = settings.operator_tokens
        self._viewers = settings.viewer_tokens

    def check(
        self, metadata: Iterable[tuple[str, str | bytes]], permission: Permission
    ) -> None:
        """Checks a call.

        Args:
            metadata: Metadata of the call.
            permission: What it needs.

        Raises:
            UnauthenticatedError: The call carries no known token.
            ForbiddenError: The token may not do this.
        """
        token = _token_of(metadata)
        if _is_among(token, self._operators):
            return
        if not _is_among(token, self._viewers):
            raise UnauthenticatedError("a known bearer token is needed")
        if permission is Permission.CHANGE:
            raise ForbiddenError("this token may read only")


def _token_of(metadata: Iterable[tuple[str, str | bytes]]) -> bytes:
    for key, value in metadata:
        if key != AUTHORIZATION_KEY:
            continue
        text = value.decode("latin-1") if isinstance(value, bytes) else value
        if text.startswith(BEARER_PREFIX):
            return text.removeprefix(BEARER_PREFIX).encode()
    return b""


def _is_among(token: bytes, secrets: tuple[Secret, ...]) -> bool:
    # Every secret is compared, in constant time: the time taken tells nothing.
    matches = [hmac.compare_digest(token, secret.value.encode()) for secret in secrets]
    return any(matches)
