"""Carries hand-over messages between agents, one task for each peer, paced."""

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
CALL_TIMEOUT_SECONDS = 2.0
# HTTP and TCP add about this much to a message.
OVERHEAD_BYTES = 400
# Messages are sent again by the decisions until they are answered, so a queue that
# is full may drop: the peer is away or the budget is spent.
QUEUE_LIMIT = 64
# A peer's task ends after this long without a message.
IDLE_SECONDS = 5.0

# Service, kind, version or sequence, buckets: what a repeated message is known by.
Matter: TypeAlias = tuple[str, str, int, tuple[int, ...]]


class _Mailbox:
    """Messages to one peer, oldest first; a repeated one takes its elder's place.

    Pattern of load: a whole service starts, the budget is spent, and the decisions
    send again what still waits here. Without this the queue grows by copies, and
    buckets settle many seconds late.
    """

    def __init__(self) -> None:
        self.waiting = threading.Condition()
        self._notes_by_matter: dict[Matter, FlowNotes] = {}

    def __len__(self) -> int:
        return len(self._notes_by_matter)

    def put(self, notes: FlowNotes) -> bool:
        matter = _matter_of(notes)
        if notes.listed_buckets:
            # Lists go in the order of their sequence: receivers refuse older ones.
            self._notes_by_matter.pop(matter, None)
        if matter not in self._notes_by_matter and len(self) >= QUEUE_LIMIT:
            return False
        self._notes_by_matter[matter] = notes
        return True

    def take(self) -> FlowNotes | None:
        if not self._notes_by_matter:
            return None
        return self._notes_by_matter.pop(next(iter(self._notes_by_matter)))


def _matter_of(notes: FlowNotes) -> Matter:
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
        endpoint = action.agent.control
        notes = to_differences(action.notes)
        with self._lock:
            mailbox = self._mailboxes_by_endpoint.get(endpoint)
            is_new = mailbox is None
            if mailbox is None:
                mailbox = _Mailbox()
                self._mailboxes_by_endpoint[endpoint] = mailbox
            with mailbox.waiting:
                if not mailbox.put(notes):
                    self.dropped_messages += 1
                mailbox.waiting.notify()
        if is_new:
            # Not under the lock: a busy process takes long to start a thread, and
            # all that route packets or answer peers would wait for it.
            self._application.spawn(self._send_until_idle, endpoint, mailbox)

    def _receive(self, notes: FlowNotes) -> FlowNotesReceipt:
        self._on_notes(from_differences(notes))
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
                notes = mailbox.take()
                if notes is not None:
                    return notes
                mailbox.waiting.wait(0.2)
            if self._clock() - idle_since < IDLE_SECONDS:
                continue
            with self._lock:
                if not len(mailbox):
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
