"""Decides which requests must not be handed over to peers.

Event streams are relayed without buffering, and a large body would cross the network
once more. Callers may announce a stream in the `Accept` header. For those that don't,
the paths of earlier event streams are cached.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from siskinshift.agent.http_requests import EVENT_STREAM


if TYPE_CHECKING:
    from siskinshift.agent.http_requests import Headers


MAX_PATHS = 256
MAX_HANDOVER_BODY_BYTES = 256 << 10


class PinnedPaths:
    """Caches a bounded number of paths of event streams; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._paths: OrderedDict[str, None] = OrderedDict()

    def add(self, path: str) -> None:
        """Adds a path whose response was an event stream.

        Args:
            path: Path, with or without a query.
        """
        with self._lock:
            self._paths[urlsplit(path).path] = None
            if len(self._paths) > MAX_PATHS:
                self._paths.popitem(last=False)

    def is_pinned(self, path: str, headers: Headers, *, body_size: int) -> bool:
        """Returns whether a request must run at the agent that received it.

        Args:
            path: Path, with or without a query.
            headers: End-to-end headers.
            body_size: Size of the body, bytes.

        Returns:
            True for event streams and large bodies.
        """
        if body_size > MAX_HANDOVER_BODY_BYTES:
            return True
        if any(name == "accept" and EVENT_STREAM in value for name, value in headers):
            return True
        return urlsplit(path).path in self._paths
