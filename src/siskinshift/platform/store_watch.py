"""A watch of the platform's key-value service."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Protocol
from urllib.parse import urlencode

from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_objects
from siskinshift.control.documents import get_string
from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreRestoredError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import WatchBatch
from siskinshift.platform.store_codec import MALFORMED_ERRORS
from siskinshift.platform.store_codec import decode_document
from siskinshift.platform.store_codec import decode_entry
from siskinshift.platform.store_codec import response_generation


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.connections.node_settings import StoreSettings
    from siskinshift.core.http import HttpResponse
    from siskinshift.kv.generations import StorePosition
    from siskinshift.runtime.http_client import HttpClient
    from siskinshift.runtime.http_client import TransferProgress


MILLISECONDS_PER_SECOND = 1000


class PollingStore(Protocol):
    """The operations of the store that a watch needs."""

    @property
    def generation(self) -> int:
        """Newest known generation of the store."""

    @property
    def is_stopping(self) -> bool:
        """Whether watches must end."""

    def new_watch_client(self) -> HttpClient:
        """Creates a separate client for a long poll."""

    def exchange(
        self,
        client: HttpClient,
        method: str,
        target: str,
        body: bytes,
        *,
        timeout: float,
    ) -> HttpResponse:
        """Sends an admitted request and reports its result to the guard."""


class PlatformWatch:
    """A watch implemented by long polling."""

    def __init__(
        self,
        store: PollingStore,
        prefix: str,
        position: StorePosition,
        *,
        settings: StoreSettings,
    ) -> None:
        """Initializes the watch; the first iteration sends the first request.

        Args:
            store: The store.
            prefix: Prefix of the keys.
            position: Generation, and revision up to which all changes are known.
            settings: Longest wait for a change.
        """
        self._store = store
        self._settings = settings
        self._prefix = prefix
        self._generation = position.generation
        self._revision = position.revision
        self._client = store.new_watch_client()

    def __iter__(self) -> Iterator[WatchBatch]:
        """Yields changes until the process stops; see Watch."""
        while not self._store.is_stopping:
            if self._store.generation != self._generation:
                raise StoreRestoredError("the store was restored")
            query = urlencode(
                {
                    "prefix": self._prefix,
                    "after": self._revision,
                    "wait-ms": round(
                        self._settings.watch_wait * MILLISECONDS_PER_SECOND
                    ),
                }
            )
            yield self._poll("/kv-watch?" + query)

    @property
    def transfer(self) -> TransferProgress:
        """Progress of the latest response."""
        return self._client.transfer

    def close(self) -> None:
        """Closes the watch, even while another thread waits on it."""
        self._client.close()

    def _poll(self, target: str) -> WatchBatch:
        try:
            response = self._store.exchange(
                self._client,
                "GET",
                target,
                b"",
                timeout=self._settings.watch_timeout,
            )
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            if self._store.generation != self._generation:
                raise StoreRestoredError("the store was restored") from error
            raise StoreUnavailableError(str(error)) from error
        if response_generation(response) != self._generation:
            # The store may have given out the same revisions again.
            raise StoreRestoredError("the store was restored")
        if response.status == HTTPStatus.GONE:
            raise StoreCompactedError("the start revision was compacted")
        document = decode_document(response)
        try:
            events = get_objects(document, "events")
            self._revision = max(self._revision, get_integer(document, "as-of"))
            return WatchBatch(
                entries=tuple(
                    decode_entry(event, generation=self._generation)
                    for event in events
                    if not event.get("removed")
                ),
                deleted_keys=tuple(
                    get_string(event, "key") for event in events if event.get("removed")
                ),
                revision=self._revision,
                generation=self._generation,
            )
        except MALFORMED_ERRORS as error:
            raise StoreUnavailableError("malformed response") from error
