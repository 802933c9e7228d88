"""Sends hand-over notes: one task and one queue for each peer."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from siskinshift.control.client import ControlClient
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.exceptions import PeerUnreachableError
from siskinshift.messages.flows import FlowNotes


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing
    from siskinshift.messages.core import Endpoint
    from siskinshift.messages.core import Member
    from siskinshift.runtime.application import Application
    from siskinshift.runtime.counters import Counters


NOTES_PATH = "/v1/flow-notes"
SEND_TIMEOUT_SECONDS = 1.0
QUEUE_MAXIMUM = 1024
WAIT_SECONDS = 0.2
IDLE_SECONDS = 30.0


class NoteSender:
    """Keeps a task for each peer that notes went to lately."""

    def __init__(
        self, *, application: Application, key_ring: KeyRing, counters: Counters
    ) -> None:
        """Prepares without any peer.

        Args:
            application: Owner of threads.
            key_ring: Keys of the deployment.
            counters: Counters of the process.
        """
        self._application = application
        self._key_ring = key_ring
        self._counters = counters
        self._lock = threading.Lock()
        self._queues_by_endpoint: dict[Endpoint, queue.Queue[FlowNotes]] = {}

    def send(self, peer: Member, notes: FlowNotes) -> None:
        """Queues a batch for a peer; a batch too many is lost, as on the way.

        Args:
            peer: Whom to send to.
            notes: The batch.
        """
        with self._lock:
            waiting = self._queues_by_endpoint.get(peer.control)
            if waiting is None:
                waiting = queue.Queue(QUEUE_MAXIMUM)
                self._queues_by_endpoint[peer.control] = waiting
                self._application.spawn(self._send_until_idle, peer.control, waiting)
            try:
                waiting.put_nowait(notes)
            except queue.Full:
                self._counters.add("notes.lost")

    def _send_until_idle(self, peer: Endpoint, waiting: queue.Queue[FlowNotes]) -> None:
        client = ControlClient(
            endpoint=peer, key_ring=self._key_ring, timeout=SEND_TIMEOUT_SECONDS
        )
        idle = 0.0
        while not self._application.stopping.is_set():
            try:
                notes = waiting.get(timeout=WAIT_SECONDS)
            except queue.Empty:
                idle += WAIT_SECONDS
                if idle >= IDLE_SECONDS and self._retire(peer, waiting):
                    break
                continue
            idle = 0.0
            self._send_one(client, notes)
        client.close()

    def _send_one(self, client: ControlClient, notes: FlowNotes) -> None:
        try:
            client.call(NOTES_PATH, notes, FlowNotes)
        except (PeerUnreachableError, BadMessageError):
            # The owner's decisions send again until the peer is settled or gone.
            self._counters.add("notes.unsent")
            return
        self._counters.add("notes.sent", len(notes.notes))

    def _retire(self, peer: Endpoint, waiting: queue.Queue[FlowNotes]) -> bool:
        with self._lock:
            if not waiting.empty():
                return False
            self._queues_by_endpoint.pop(peer, None)
            return True
