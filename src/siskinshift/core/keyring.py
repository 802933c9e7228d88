"""Keyed authenticators for messages between processes of the system."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from siskinshift.settings.generated import KeysSettings


DIGEST_SIZE = 16


class KeyRing:
    """Signs with the current key; also accepts the previous one during a rotation."""

    def __init__(self, settings: KeysSettings) -> None:
        secrets = [settings.current.value, settings.previous.value]
        self._keys = [_derive_key(secret) for secret in secrets if secret]

    def sign(self, data: bytes) -> bytes:
        """Computes the authenticator of the data.

        Args:
            data: Data to sign.

        Returns:
            Authenticator of DIGEST_SIZE bytes.
        """
        return _digest(self._keys[0], data)

    def verify(self, data: bytes, authenticator: bytes) -> bool:
        """Verifies an authenticator against each accepted key.

        Args:
            data: Data that was signed.
            authenticator: Authenticator received with the data.

        Returns:
            Whether it was computed with an accepted key.
        """
        return any(
            hmac.compare_digest(_digest(key, data), authenticator) for key in self._keys
        )


def _derive_key(secret: str) -> bytes:
    # BLAKE2b accepts keys of up to 64 bytes; configured secrets may be longer.
    return hashlib.blake2b(secret.encode(), digest_size=32).digest()


def _digest(key: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, key=key, digest_size=DIGEST_SIZE).digest()
