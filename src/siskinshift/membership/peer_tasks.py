"""Sends messages to peers, with one task for each peer."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from siskinshift.control.client import ControlClient
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.exceptions import PeerUnreachableError
from siskinshift.membership.actions import PATHS_BY_MESSAGE_TYPE
from siskinshift.membership.actions import REPLY_TYPES_BY_MESSAGE_TYPE


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing
    from siskinshift.membership.actions import Call
    from siskinshift.membership.actions import Reply
    from siskinshift.messages.core import Endpoint
    from siskinshift.runtime.application import Application


# A task that is idle for this long ends and closes its connection.
IDLE_SECONDS = 12.0
POLL_SECONDS = 0.5

ResultListener: TypeAlias = Callable[["Call", "Reply | None"], None]


class PeerTasks:
    """Sends calls in order to each peer, and to different peers concurrently."""

    def __init__(
        self,
        *,
        application: Application,
        key_ring: KeyRing,
        timeout: float,
        on_result: ResultListener,
    ) -> None:
        """Initializes the sender without tasks.

        Args:
            application: Application that runs the tasks' threads.
            key_ring: Keys of the deployment.
            timeout: Seconds allowed for one call.
            on_result: Called with each call and its reply, or None for a failed call.
        """
        self._application = application
        self._key_ring = key_ring
        self._timeout = timeout
        self._on_result = on_result
        self._lock = threading.Lock()
        self._queues_by_endpoint: dict[Endpoint, queue.SimpleQueue[Call]] = {}

    def send(self, call: Call) -> None:
        """Queues a call for its peer's task and starts the task when there is none.

        Args:
            call: The call.
        """
        if self._application.stopping.is_set():
            return
        with self._lock:
            calls = self._queues_by_endpoint.get(call.endpoint)
            if calls is not None:
                calls.put(call)
                return
            calls = queue.SimpleQueue()
            calls.put(call)
            self._queues_by_endpoint[call.endpoint] = calls
            try:
                self._application.spawn(self._serve_peer, call.endpoint, calls)
            except RuntimeError:
                return  # The application was stopped in the meantime.

    def _serve_peer(self, endpoint: Endpoint, calls: queue.SimpleQueue[Call]) -> None:
        client = ControlClient(
            endpoint=endpoint, key_ring=self._key_ring, timeout=self._timeout
        )
        idle = 0.0
        try:
            while not self._application.stopping.is_set():
                try:
                    call = calls.get(timeout=POLL_SECONDS)
                except queue.Empty:
                    idle += POLL_SECONDS
                    if idle >= IDLE_SECONDS and self._remove_if_idle(endpoint, calls):
                        return
                    continue
                idle = 0.0
                self._on_result(call, send_call(client, call))
        finally:
            client.close()

    def _remove_if_idle(
        self, endpoint: Endpoint, calls: queue.SimpleQueue[Call]
    ) -> bool:
        with self._lock:
            if not calls.empty():
                return False
            del self._queues_by_endpoint[endpoint]
            return True


def send_call(client: ControlClient, call: Call) -> Reply | None:
    """Sends one call.

    Args:
        client: Client of the peer.
        call: The call.

    Returns:
        The reply, or None when no valid one arrived in time.
    """
    message_type = type(call.message)
    try:
        return client.call(
            PATHS_BY_MESSAGE_TYPE[message_type],
            call.message,
            REPLY_TYPES_BY_MESSAGE_TYPE[message_type],
        )
    except (PeerUnreachableError, BadMessageError):
        return None
