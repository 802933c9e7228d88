"""What the system needs of a key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias

from attrs import frozen


if TYPE_CHECKING:
    from collections.abc import Iterator


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


@frozen
class Snapshot:
    """Entries as they were together at one revision.

    Attributes:
        entries: The entries ordered by key.
        revision: Revision of the store at the time of the read.
    """

    entries: tuple[Entry, ...]
    revision: int


@frozen
class Compare:
    """A condition of a transaction.

    Attributes:
        key: The key.
        revision: Revision its value must be at; 0 for a key that is absent.
    """

    key: str
    revision: int


@frozen
class Put:
    """Writes a key in a transaction.

    Attributes:
        key: The key.
        value: The new value.
        lease_id: Lease whose end removes the key; 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


@frozen
class Delete:
    """Removes a key in a transaction.

    Attributes:
        key: The key.
    """

    key: str


Operation: TypeAlias = Put | Delete


@frozen
class TransactionResult:
    """What became of a transaction.

    Attributes:
        succeeded: Whether all conditions held and all operations were done.
        revision: Revision of the store after it; that of the writes when it succeeded.
    """

    succeeded: bool
    revision: int


@frozen
class Lease:
    """A lease that was granted.

    Attributes:
        lease_id: Its id.
        ttl: Life without a keep-alive, seconds.
    """

    lease_id: int
    ttl: float


@frozen
class WatchBatch:
    """Changes that a watch saw.

    Attributes:
        entries: Entries written, in order.
        deleted_keys: Keys removed.
        revision: Revision up to which the watch has seen all.
    """

    entries: tuple[Entry, ...]
    deleted_keys: tuple[str, ...]
    revision: int


class Watch(Protocol):
    """An open watch."""

    def __iter__(self) -> Iterator[WatchBatch]:
        """Waits for changes; ends after a silence as long as the watch's limit.

        Raises:
            StoreCompactedError: The start revision is no longer kept.
            StoreUnavailableError: The watch broke.
        """

    def close(self) -> None:
        """Ends the watch, also one that waits in another thread."""


class KeyValueStore(Protocol):
    """A store with compare-and-swap, leases and watches; every call has a time-out.

    Reads raise StoreUnavailableError when no good answer came in time. Writes raise
    it only when they certainly did not take effect, else StoreOutcomeUnknownError.
    """

    def get(self, key: str) -> Entry | None:
        """Reads one entry, or None when the key is absent."""

    def revision_of(self, key: str) -> int:
        """Reads the revision of one entry without its value; 0 when it is absent."""

    def list_prefix(self, prefix: str) -> Snapshot:
        """Reads all entries whose key begins with a prefix, not empty."""

    def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Operation, ...]
    ) -> TransactionResult:
        """Does all operations in one step if all conditions hold, else none."""

    def grant_lease(self, ttl: float) -> Lease:
        """Makes a lease that ends `ttl` seconds after its last keep-alive."""

    def keep_alive(self, lease_id: int) -> float:
        """Prolongs a lease; returns the seconds it has left, 0 when it lapsed."""

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and removes its keys."""

    def watch(self, prefix: str, start_revision: int) -> Watch:
        """Opens a watch on all keys with a prefix from a revision on."""
