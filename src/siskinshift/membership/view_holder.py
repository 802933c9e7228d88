"""Holds the current view of a process and notifies listeners of a new one."""

from __future__ import annotations

import threading
from collections.abc import Callable
from collections.abc import Iterable
from typing import TYPE_CHECKING
from typing import TypeAlias

from siskinshift.core.views import View
from siskinshift.core.views import make_view


if TYPE_CHECKING:
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import Service


ViewListener: TypeAlias = Callable[[View], None]


class ViewHolder:
    """Numbers views and passes each to every listener, in order."""

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._listeners: list[ViewListener] = []
        self.current = make_view(version=0, services=(), members=())

    def subscribe(self, listener: ViewListener) -> None:
        """Registers a listener and passes it the current view.

        Args:
            listener: Called with each new view, one at a time.
        """
        with self._lock:
            self._listeners.append(listener)
            listener(self.current)

    def publish(self, services: Iterable[Service], members: Iterable[Member]) -> None:
        """Makes a new view and passes it to the listeners.

        Args:
            services: Configured services.
            members: Known members.
        """
        with self._lock:
            version = self.current.version + 1
            self.current = make_view(
                version=version, services=services, members=members
            )
            for listener in self._listeners:
                listener(self.current)
