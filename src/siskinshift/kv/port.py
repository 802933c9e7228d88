"""Interface of a key-value store with transactions, leases and watches."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias

from attrs import Factory
from attrs import frozen

from siskinshift.kv.generations import UNKNOWN_GENERATION
from siskinshift.kv.generations import StorePosition


if TYPE_CHECKING:
    from collections.abc import Iterator


@frozen
class Entry:
    """A key with its value and revision.

    Attributes:
        key: The key.
        value: The value.
        revision: Revision of the store at which the value was written.
        generation: Generation of the store of which the entry was read.
    """

    key: str
    value: bytes
    revision: int
    generation: int = UNKNOWN_GENERATION


@frozen
class Snapshot:
    """Entries as of one revision.

    Attributes:
        entries: The entries, ordered by key.
        revision: Revision of the store at the time of the read.
        generation: Generation of the store that gave the revision.
    """

    entries: tuple[Entry, ...]
    revision: int
    generation: int = UNKNOWN_GENERATION

    @property
    def position(self) -> StorePosition:
        """Generation and revision."""
        return StorePosition(self.generation, self.revision)


@frozen
class Compare:
    """A condition of a transaction.

    Attributes:
        key: The key.
        revision: Required revision of its value; 0 requires that the key is absent.
    """

    key: str
    revision: int


@frozen
class Put:
    """Writes a key in a transaction.

    Attributes:
        key: The key.
        value: The new value.
        lease_id: Lease whose expiry removes the key; 0 for none.
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
    """Result of a transaction.

    Attributes:
        succeeded: Whether all conditions held and all operations were applied.
        revision: Revision of the store after it; that of the writes if it succeeded.
        generation: Generation of the store that gave the revision.
        revisions_by_key: If it failed, current revisions of the keys of its conditions;
            0 for an absent key. Empty if the store did not report them.
    """

    succeeded: bool
    revision: int
    generation: int = UNKNOWN_GENERATION
    revisions_by_key: Mapping[str, int] = Factory(dict)


@frozen
class Lease:
    """A granted lease.

    Attributes:
        lease_id: Its id.
        ttl: Time until it expires without a keep-alive, seconds.
        generation: Generation of the store that granted it. In a later one the same id
            may belong to another node.
    """

    lease_id: int
    ttl: float
    generation: int = UNKNOWN_GENERATION


@frozen
class WatchBatch:
    """Changes that a watch received.

    Attributes:
        entries: Entries written, in order.
        deleted_keys: Keys removed.
        revision: Revision up to which the watch has received all changes.
        generation: Generation of the store that gave the revision.
    """

    entries: tuple[Entry, ...]
    deleted_keys: tuple[str, ...]
    revision: int
    generation: int = UNKNOWN_GENERATION

    @property
    def position(self) -> StorePosition:
        """Generation and revision."""
        return StorePosition(self.generation, self.revision)


class Watch(Protocol):
    """An open watch."""

    def __iter__(self) -> Iterator[WatchBatch]:
        """Yields batches of changes; ends at the watch's idle timeout.

        Raises:
            StoreCompactedError: The start revision was compacted; StoreRestoredError
                if it was given by an earlier generation.
            StoreUnavailableError: The watch failed.
        """

    def close(self) -> None:
        """Closes the watch, even while another thread waits on it."""


class KeyValueStore(Protocol):
    """A store with compare-and-swap, leases and watches; each request has a timeout.

    Reads raise StoreUnavailableError if no valid response arrived in time. Writes raise
    it only if they certainly did not take effect, else StoreOutcomeUnknownError. A
    write whose response is of a later generation than the last one before it has an
    unknown outcome: its conditions and leases were given by the earlier one.
    """

    @property
    def generation(self) -> int:
        """Newest known generation of the store; UNKNOWN_GENERATION without one."""

    def confirm_generation(self, key: str) -> int:
        """Returns the generation as of now.

        A lease is renewed or revoked only after this, since its id may be given out
        again. It reads a key, except from a store without generations.
        """

    def get(self, key: str) -> Entry | None:
        """Returns the entry of a key, or None if the key is absent."""

    def revision_of(self, key: str) -> int:
        """Returns the revision of a key's entry without its value; 0 if absent."""

    def list_prefix(self, prefix: str) -> Snapshot:
        """Returns all entries whose keys have a prefix, which must not be empty."""

    def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Operation, ...]
    ) -> TransactionResult:
        """Atomically applies all operations if all conditions hold, else none."""

    def grant_lease(self, ttl: float) -> Lease:
        """Grants a lease that expires `ttl` seconds after its last keep-alive."""

    def keep_alive(self, lease_id: int) -> float:
        """Renews a lease; returns its remaining seconds, 0 if it expired."""

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease and removes its keys."""

    def watch(
        self, prefix: str, start_revision: int, generation: int = UNKNOWN_GENERATION
    ) -> Watch:
        """Opens a watch on all keys with a prefix, starting at a revision."""
