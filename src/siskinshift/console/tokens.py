"""Reads bearer tokens of groups from files.

Only the digest of a token is stored in the configuration.
"""

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
        ArgumentError: The file can't be read, or it is empty.
    """
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise ArgumentError(f"token file {path}: can't be read: {error}") from error
    if not token:
        raise ArgumentError(f"token file {path}: is empty")
    return token


def read_token_digest(path: Path) -> str:
    """Reads a token and returns its digest as stored in the configuration.

    Args:
        path: File with the token on one line.

    Returns:
        SHA-256 digest in hex.

    Raises:
        ArgumentError: The file can't be read, or it is empty.
    """
    return hashlib.sha256(read_token(path).encode()).hexdigest()
