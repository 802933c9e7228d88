"""Bearer tokens of groups: only their digests go into the configuration."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from siskinshift.console.exceptions import ArgumentError


if TYPE_CHECKING:
    from pathlib import Path


def read_token(path: Path) -> str:
    """Reads a token.

    Args:
        path: File with the token on one line.

    Returns:
        The token.

    Raises:
        ArgumentError: The file can't be read or is empty.
    """
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise ArgumentError(f"token file {path}: can't be read: {error}") from error
    if not token:
        raise ArgumentError(f"token file {path}: is empty")
    return token


def token_digest(path: Path) -> str:
    """Digests a token as the configuration holds it.

    Args:
        path: File with the token on one line.

    Returns:
        SHA-256 digest in hex.

    Raises:
        ArgumentError: The file can't be read or is empty.
    """
    return hashlib.sha256(read_token(path).encode()).hexdigest()
