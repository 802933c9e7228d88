"""Paths whose requests stay at their own agent.

A stream of events is passed on as it comes, and a large body would cross the network
once more; neither is handed over to a peer. Callers may say what they expect
(`Accept`); for those that don't, the path of an answer that turned out to be a stream
is remembered.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from siskinshift.agent.calls import EVENT_STREAM


if TYPE_CHECKING:
    from siskinshift.agent.calls import Headers


PATHS_REMEMBERED = 256
HANDED_OVER_BODY_MAXIMUM = 256 << 10


class PinnedPaths:
    """Remembers a bounded number of paths; safe to share between threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._paths: OrderedDict[str, None] = OrderedDict()

    def add(self, path: str) -> None:
        """Remembers a path whose answer was a stream.

        Args:
            path: Path, with or without a query.
        """
        with self._lock:
            self._paths[urlsplit(path).path] = None
            if len(self._paths) > PATHS_REMEMBERED:
                self._paths.popitem(last=False)

    def is_pinned(self, path: str, headers: Headers, *, body_size: int) -> bool:
        """Says whether a request must stay at its own agent.

        Args:
            path: Path, with or without a query.
            headers: End-to-end headers.
            body_size: Size of the body, bytes.

        Returns:
            True when it must.
        """
        if body_size > HANDED_OVER_BODY_MAXIMUM:
            return True
        if any(name == "accept" and EVENT_STREAM in value for name, value in headers):
            return True
        return urlsplit(path).path in self._paths
