"""Sends and receives handover messages, with one rate-limited task for each peer."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import TypeAlias

from siskinshift.control.client import ControlClient
from siskinshift.control.codec import encode_message
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.exceptions import PeerUnreachableError
from siskinshift.flows.bucket_differences import from_differences
from siskinshift.flows.bucket_differences import to_differences
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
REQUEST_TIMEOUT_SECONDS = 2.0
# Approximate overhead of HTTP and TCP for each message.
OVERHEAD_BYTES = 400
# The flow router repeats each message until it gets a reply, so a full queue may drop
# messages: the peer is unreachable or the byte budget is exhausted.
QUEUE_LIMIT = 64
# A peer's task ends after this long without a message.
IDLE_TIMEOUT_SECONDS = 5.0

# Identifies repeats of a message: service, kind, version or sequence, buckets.
MessageKey: TypeAlias = tuple[str, str, int, tuple[int, ...]]


class _PeerQueue:
    """Messages to one peer, oldest first; a repeated message replaces the queued one.

    When a whole service starts, the byte budget is exhausted and the flow router
    repeats messages that are still queued. Without the replacement the queue would fill
    with duplicates, and claims would complete many seconds late.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self._notes_by_key: dict[MessageKey, FlowNotes] = {}

    def __len__(self) -> int:
        return len(self._notes_by_key)

    def put(self, notes: FlowNotes) -> bool:
        key = _message_key(notes)
        if notes.listed_buckets:
            # Lists are sent in order of their sequence: receivers reject older ones.
            self._notes_by_key.pop(key, None)
        if key not in self._notes_by_key and len(self) >= QUEUE_LIMIT:
            return False
        self._notes_by_key[key] = notes
        return True

    def pop(self) -> FlowNotes | None:
        if not self._notes_by_key:
            return None
        return self._notes_by_key.pop(next(iter(self._notes_by_key)))


def _message_key(notes: FlowNotes) -> MessageKey:
    if notes.claimed_buckets:
        return (notes.service_id, "claim", notes.claim_version, ())
    if notes.listed_buckets:
        version = notes.confirmed_version
        return (notes.service_id, "list", version, notes.listed_buckets)
    if notes.accepted_buckets:
        return (notes.service_id, "acceptance", notes.accepted_sequence, ())
    if notes.audited_buckets:
        return (notes.service_id, "audit", 0, ())
    return (notes.service_id, "empty", 0, ())


class NotesSender:
    """Sends handover messages and passes received ones to the router.

    Attributes:
        sent_messages: Number of messages sent.
        sent_bytes: Total size of the sent messages, bytes.
        dropped_messages: Number of messages dropped because a queue was full.
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
        """Registers the handler for received messages.

        Args:
            application: Owner of the tasks.
            routes: Registry of the message handlers.
            key_ring: Keys of the deployment.
            clock: Clock of the process.
            on_notes: Callback for received messages.
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
        self._queues_by_endpoint: dict[Endpoint, _PeerQueue] = {}
        routes.route(FLOW_NOTES_PATH, FlowNotes)(self._receive)

    def send(self, action: SendNotes) -> None:
        """Queues a message; returns at once.

        Args:
            action: The message and the peer.
        """
        if self._application.stopping.is_set():
            return
        endpoint = action.agent.control
        notes = to_differences(action.notes)
        with self._lock:
            queue = self._queues_by_endpoint.get(endpoint)
            is_new = queue is None
            if queue is None:
                queue = _PeerQueue()
                self._queues_by_endpoint[endpoint] = queue
            with queue.changed:
                if not queue.put(notes):
                    self.dropped_messages += 1
                queue.changed.notify()
        if is_new:
            # Outside the lock: starting a thread is slow in a busy process, and the
            # threads that route packets or reply to peers would wait for it.
            self._application.spawn(self._send_until_idle, endpoint, queue)

    def _receive(self, notes: FlowNotes) -> FlowNotesReceipt:
        self._on_notes(from_differences(notes))
        return FlowNotesReceipt(service_id=notes.service_id)

    def _send_until_idle(self, endpoint: Endpoint, queue: _PeerQueue) -> None:
        client = ControlClient(
            endpoint=endpoint, key_ring=self._key_ring, timeout=REQUEST_TIMEOUT_SECONDS
        )
        try:
            while (notes := self._next_message(endpoint, queue)) is not None:
                self._send_one(client, notes)
        finally:
            client.close()

    def _next_message(self, endpoint: Endpoint, queue: _PeerQueue) -> FlowNotes | None:
        stopping = self._application.stopping
        idle_since = self._clock()
        while not stopping.is_set():
            with queue.changed:
                notes = queue.pop()
                if notes is not None:
                    return notes
                queue.changed.wait(0.2)
            if self._clock() - idle_since < IDLE_TIMEOUT_SECONDS:
                continue
            with self._lock:
                if not len(queue):
                    del self._queues_by_endpoint[endpoint]
                    return None
        return None

    def _send_one(self, client: ControlClient, notes: FlowNotes) -> None:
        size = len(encode_message(notes)) + OVERHEAD_BYTES
        while True:
            with self._lock:
                delay = self._budget.delay_before_send(now=self._clock())
                if not delay:
                    self._budget.consume(size, now=self._clock())
                    break
            if self._application.stopping.wait(delay):
                return
        try:
            client.call(FLOW_NOTES_PATH, notes, FlowNotesReceipt)
        except (PeerUnreachableError, BadMessageError):
            return  # The flow router repeats it while it is needed.
        self.sent_messages += 1
        self.sent_bytes += size
