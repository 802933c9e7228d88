"""What the system needs of a key-value service."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen


@frozen
class Entry:
    """A key with its value.

    Attributes:
        key: The key.
        value: The value.
        revision: Revision of the store at which the value was written.
    """

    key: str
    value: bytes
    revision: int


class KeyValueStore(Protocol):
    """A store with compare-and-swap; every call has a time-out."""

    def list_prefix(self, prefix: str) -> list[Entry]:
        """Reads all entries whose key begins with a prefix.

        Raises:
            StoreUnavailableError: No answer in time.
        """

    def compare_and_put(self, key: str, value: bytes, *, revision: int) -> int | None:
        """Writes when the key is still at a revision; 0 for a key that is absent.

        Returns:
            The new revision, or None when the key was at another one.

        Raises:
            StoreUnavailableError: It did not take effect.
            StoreOutcomeUnknownError: It may have taken effect.
        """
