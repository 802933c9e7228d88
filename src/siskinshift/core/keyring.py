"""Keyed authenticators by which processes of the system know each other."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from siskinshift.settings.generated import KeysSettings


DIGEST_SIZE = 16


class KeyRing:
    """Signs with the current key; accepts the previous one during a rotation."""

    def __init__(self, settings: KeysSettings) -> None:
        texts = [settings.current.value, settings.previous.value]
        self._keys = [_derived_key(text) for text in texts if text]

    def sign(self, data: bytes) -> bytes:
        """Computes the authenticator of some bytes.

        Args:
            data: The bytes.

        Returns:
            DIGEST_SIZE bytes.
        """
        return _digest(self._keys[0], data)

    def verify(self, data: bytes, authenticator: bytes) -> bool:
        """Checks an authenticator against each accepted key.

        Args:
            data: The bytes it should belong to.
            authenticator: What came with them.

        Returns:
            Whether a process that holds a key made it.
        """
        return any(
            hmac.compare_digest(_digest(key, data), authenticator) for key in self._keys
        )


def _derived_key(text: str) -> bytes:
    # BLAKE2b takes keys up to 64 bytes; operators' secrets may be longer.
    return hashlib.blake2b(text.encode(), digest_size=32).digest()


def _digest(key: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, key=key, digest_size=DIGEST_SIZE).digest()
