"""The store as some machines reach it: at times it gives them no response."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from siskinshift.standins.platform_store import PlatformStoreServer


if TYPE_CHECKING:
    from siskinshift.observability.event_log import EventLog
    from siskinshift.runtime.http_server import HttpRequest
    from siskinshift.runtime.http_server import ServerResponse
    from siskinshift.runtime.life_cycle import LifeCycle


POLL_S = 0.1


class StoreAccess(PlatformStoreServer):
    """Serves the state of another server at a port of its own.

    Attributes:
        is_silent: Whether calls get no response. A connection on which a response is
            lost stays open and returns nothing further.
        unanswered: Paths of the calls that got no response.
    """

    def __init__(
        self, life_cycle: LifeCycle, *, log: EventLog, store: PlatformStoreServer
    ) -> None:
        """Binds a free port."""
        super().__init__(life_cycle, log=log)
        self.state = store.state
        self._changed = store._changed
        self.is_silent = False
        self.unanswered: list[str] = []

    def _respond(self, request: HttpRequest) -> ServerResponse:
        response = None if self.is_silent else super()._respond(request)
        if response is not None and not self.is_silent:
            return response
        self.unanswered.append(request.path)
        while not self._life_cycle.stopping.is_set():
            time.sleep(POLL_S)
        raise ConnectionAbortedError
