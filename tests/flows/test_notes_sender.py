"""Tests of the notes sender over loopback sockets."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.bench.flow_network import make_agent
from siskinshift.control.server import ControlRoutes
from siskinshift.control.server import ControlServer
from siskinshift.core.clocks import monotonic_clock
from siskinshift.flows.actions import SendNotes
from siskinshift.flows.notes_sender import QUEUE_LIMIT
from siskinshift.flows.notes_sender import NotesSender
from siskinshift.messages.core import Endpoint
from siskinshift.messages.flows import FlowNotes
from siskinshift.runtime.application import Application


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.core.keyring import KeyRing
    from siskinshift.settings.generated import Settings


NOTES = FlowNotes(
    service_id="editor",
    sender_id="editor-1",
    listed_buckets=(1, 2, 700),
    flows=(1 << 63,),
)


@pytest.fixture
def application(settings: Settings) -> Iterator[Application]:
    application = Application(settings)
    yield application
    application.stop()


def _notes_sender(
    application: Application,
    key_ring: KeyRing,
    routes: ControlRoutes,
    received: list[FlowNotes],
    event: threading.Event,
) -> NotesSender:
    def on_notes(notes: FlowNotes) -> None:
        received.append(notes)
        event.set()

    return NotesSender(
        application=application,
        routes=routes,
        key_ring=key_ring,
        clock=monotonic_clock,
        on_notes=on_notes,
    )


def _send_to(endpoint: Endpoint) -> SendNotes:
    agent = make_agent("editor-2", upstream_class="editor", incarnation=1)
    return SendNotes(attrs.evolve(agent, control=endpoint), NOTES)


def test_a_message_arrives_as_it_was_sent(
    application: Application, key_ring: KeyRing
) -> None:
    routes = ControlRoutes()
    received: list[FlowNotes] = []
    event = threading.Event()
    sender = _notes_sender(application, key_ring, routes, received, event)
    server = ControlServer(
        endpoint=Endpoint("127.0.0.1", 0),
        routes=routes,
        key_ring=key_ring,
        executor=application.executor,
    )
    application.add_cleanup(server.server_close)
    application.add_cleanup(server.close_connections)
    application.add_cleanup(server.shutdown)
    application.spawn(server.serve_forever, 0.05)
    host, port = server.server_address[:2]

    sender.send(_send_to(Endpoint(str(host), int(port))))

    assert event.wait(10.0)
    assert received == [NOTES]


def test_an_unreachable_peer_neither_blocks_nor_fills_memory(
    application: Application, key_ring: KeyRing
) -> None:
    """The router keeps sending to a failed peer until the failure is detected.

    `send` runs in the thread that routes packets, so it must not block, and the queue
    must be bounded.
    """
    sender = _notes_sender(
        application, key_ring, ControlRoutes(), [], threading.Event()
    )
    unreachable = _send_to(Endpoint("127.0.0.1", 9))
    for number in range(40 * QUEUE_LIMIT):
        notes = attrs.evolve(NOTES, listed_buckets=(number,))
        sender.send(attrs.evolve(unreachable, notes=notes))

    assert sender.sent_messages == 0
    assert sender.dropped_messages > 0
