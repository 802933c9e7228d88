"""The store adapter with an in-memory stand-in of the platform's store."""

from __future__ import annotations

import threading
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING

import orjson

from siskinshift.connections.node_settings import StoreSettings
from siskinshift.core.http import HttpResponse
from siskinshift.kv.generations import GenerationTracker
from siskinshift.messages.core import Endpoint
from siskinshift.platform.store import PlatformStore
from siskinshift.runtime.http_client import HttpClient
from siskinshift.runtime.http_client import ResponseLostError
from siskinshift.standins.platform_store import PlatformStoreState
from siskinshift.standins.platform_store import ResponseLost


if TYPE_CHECKING:
    from siskinshift.core.clocks import Clock
    from siskinshift.kv.port import Snapshot
    from siskinshift.observability.event_log import EventLog


SETTINGS = StoreSettings(
    endpoint=Endpoint("127.0.0.1", 1),
    call_rate=1000.0,
    call_burst=1000,
    lease_minimum=0.1,
    recovery_window=4.0,
)


class _InMemoryClient(HttpClient):
    def __init__(self, state: PlatformStoreState) -> None:
        super().__init__("127.0.0.1", 1, connect_timeout=1.0)
        self._state = state

    def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> HttpResponse:
        path, _, query = target.partition("?")
        try:
            status, document = self._state.handle(method, path, query, body)
        except ResponseLost as error:
            raise ResponseLostError("lost") from error
        headers = {name.lower(): value for name, value in self._state.headers.items()}
        return HttpResponse(HTTPStatus(status), orjson.dumps(document), headers)


class InMemoryStore(PlatformStore):
    """The store adapter on a state that the test controls.

    Attributes:
        state: Content and faults of the store.
        linearizable_reads: Number of successful linearizable reads of a prefix.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        state: PlatformStoreState | None = None,
        log: EventLog | None = None,
    ) -> None:
        self.state = state or PlatformStoreState(clock)
        self.linearizable_reads = 0
        super().__init__(
            SETTINGS,
            stopping=threading.Event(),
            clock=clock,
            random=Random(1),
            generations=GenerationTracker(log=log),
        )

    def list_prefix(self, prefix: str) -> Snapshot:
        snapshot = super().list_prefix(prefix)
        self.linearizable_reads += 1
        return snapshot

    def _new_client(self) -> HttpClient:
        return _InMemoryClient(self.state)
