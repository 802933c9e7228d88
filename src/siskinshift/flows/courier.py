"""Carries hand-over messages between agents, one task for each peer, paced."""

from __future__ import annotations

import threading
from collections import deque
from typing import TYPE_CHECKING

from siskinshift.control.client import ControlClient
from siskinshift.control.codec import encode_message
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.exceptions import PeerUnreachableError
from siskinshift.flows.pacing import ByteBudget
from siskinshift.messages.flows import FlowNotes
from siskinshift.messages.flows import FlowNotesReceipt


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.control.server import ControlRoutes
    from siskinshift.core.clocks import Clock
    from siskinshift.core.keyring import KeyRing
    from siskinshift.flows.actions import SendNotes
    from siskinshift.messages.core import Endpoint
    from siskinshift.runtime.application import Application


FLOW_NOTES_PATH = "/v1/flow-notes"
CALL_TIMEOUT_SECONDS = 2.0
# HTTP and TCP add about this much to a message.
OVERHEAD_BYTES = 400
# Messages are sent again by the decisions until they are answered, so a queue that
# is full may drop: the peer is away or the budget is spent.
QUEUE_LIMIT = 64
# A peer's task ends after this long without a message.
IDLE_SECONDS = 5.0


class _Mailbox:
    def __init__(self) -> None:
        self.queue: deque[FlowNotes] = deque()
        self.waiting = threading.Condition()
        self.open = True


class NotesCourier:
    """Sends hand-over messages and hands arriving ones to the router.

    Attributes:
        sent_messages: Messages sent so far.
        sent_bytes: Their bytes.
        dropped_messages: Messages dropped because a queue was full.
    """

    def __init__(
        self,
        *,
        application: Application,
        routes: ControlRoutes,
        key_ring: KeyRing,
        clock: Clock,
        on_notes: Callable[[FlowNotes], None],
    ) -> None:
        """Registers the handler; nothing is sent yet.

        Args:
            application: Owner of the tasks.
            routes: Where message handlers are registered.
            key_ring: Keys of the deployment.
            clock: Clock of the process.
            on_notes: Takes a message that arrived.
        """
        self.sent_messages = 0
        self.sent_bytes = 0
        self.dropped_messages = 0
        self._application = application
        self._key_ring = key_ring
        self._clock = clock
        self._on_notes = on_notes
        self._lock = threading.Lock()
        settings = application.settings.flows
        self._budget = ByteBudget(bytes_per_second=settings.notes_bytes_per_second)
        self._mailboxes_by_endpoint: dict[Endpoint, _Mailbox] = {}
        routes.handles(FLOW_NOTES_PATH, FlowNotes)(self._receive)

    def send(self, action: SendNotes) -> None:
        """Queues a message; returns at once.

        Args:
            action: The message and the peer.
        """
        if self._application.stopping.is_set():
            return
        with self._lock:
            mailbox = self._mailboxes_by_endpoint.get(action.agent.control)
            if mailbox is None:
                mailbox = _Mailbox()
                self._mailboxes_by_endpoint[action.agent.control] = mailbox
                self._application.spawn(
                    self._send_until_idle, action.agent.control, mailbox
                )
            with mailbox.waiting:
                if len(mailbox.queue) >= QUEUE_LIMIT:
                    self.dropped_messages += 1
                    return
                mailbox.queue.append(action.notes)
                mailbox.waiting.notify()

    def _receive(self, notes: FlowNotes) -> FlowNotesReceipt:
        self._on_notes(notes)
        return FlowNotesReceipt(service_id=notes.service_id)

    def _send_until_idle(self, endpoint: Endpoint, mailbox: _Mailbox) -> None:
        client = ControlClient(
            endpoint=endpoint, key_ring=self._key_ring, timeout=CALL_TIMEOUT_SECONDS
        )
        try:
            while (notes := self._next(endpoint, mailbox)) is not None:
                self._send_one(client, notes)
        finally:
            client.close()

    def _next(self, endpoint: Endpoint, mailbox: _Mailbox) -> FlowNotes | None:
        stopping = self._application.stopping
        idle_since = self._clock()
        while not stopping.is_set():
            with mailbox.waiting:
                if mailbox.queue:
                    return mailbox.queue.popleft()
                mailbox.waiting.wait(0.2)
            if self._clock() - idle_since < IDLE_SECONDS:
                continue
            with self._lock:
                if not mailbox.queue:
                    del self._mailboxes_by_endpoint[endpoint]
                    return None
        return None

    def _send_one(self, client: ControlClient, notes: FlowNotes) -> None:
        size = len(encode_message(notes)) + OVERHEAD_BYTES
        while True:
            with self._lock:
                pause = self._budget.wait(now=self._clock())
                if not pause:
                    self._budget.take(size, now=self._clock())
                    break
            if self._application.stopping.wait(pause):
                return
        try:
            client.call(FLOW_NOTES_PATH, notes, FlowNotesReceipt)
        except (PeerUnreachableError, BadMessageError):
            return  # The decisions send it again while it is needed.
        self.sent_messages += 1
        self.sent_bytes += size
