"""Terminates one HTTP/3 connection of a caller in a task of its own.

Implements RFC 9000 (QUIC) and RFC 9114 (HTTP/3) on aioquic without its I/O: the task
receives datagrams and responses as commands from a queue.
"""

from __future__ import annotations

import itertools
import queue
from typing import TYPE_CHECKING

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import ErrorCode
from aioquic.h3.connection import FrameType
from aioquic.h3.connection import H3Connection
from aioquic.h3.connection import encode_frame
from aioquic.h3.events import DataReceived
from aioquic.h3.events import H3Event
from aioquic.h3.events import HeadersReceived
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionIdIssued
from aioquic.quic.events import ConnectionIdRetired
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import QuicEvent
from aioquic.quic.events import StopSendingReceived
from aioquic.quic.events import StreamReset
from attrs import define
from attrs import field

from siskinshift.agent.connection_commands import AbortResponse
from siskinshift.agent.connection_commands import CloseConnection
from siskinshift.agent.connection_commands import Command
from siskinshift.agent.connection_commands import ConnectionResponseWriter
from siskinshift.agent.connection_commands import EndResponse
from siskinshift.agent.connection_commands import FailResponse
from siskinshift.agent.connection_commands import GoAway
from siskinshift.agent.connection_commands import ReceiveDatagram
from siskinshift.agent.connection_commands import SendData
from siskinshift.agent.connection_commands import StartResponse
from siskinshift.agent.credentials import find_group_id
from siskinshift.agent.failure_responses import failure_fields
from siskinshift.agent.http_requests import HttpRequest
from siskinshift.agent.request_heads import RequestHead
from siskinshift.agent.request_heads import read_head
from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import Request
from siskinshift.exceptions import SiskinshiftError


if TYPE_CHECKING:
    from collections.abc import Callable

    from aioquic.quic.configuration import QuicConfiguration

    from siskinshift.agent.request_runner import RequestRunner
    from siskinshift.agent.service_refusals import ServiceRefusals
    from siskinshift.core.clocks import Clock
    from siskinshift.messages.core import Endpoint
    from siskinshift.messages.core import Service
    from siskinshift.runtime.counters import Counters
    from siskinshift.settings.generated import AgentSettings


# RFC 9114, 5.2: a first GOAWAY with the largest id stops new requests without refusing
# those in flight. A second one, a round trip later, carries the last accepted id.
GOAWAY_FIRST_STREAM_ID = (1 << 62) - 4
GOAWAY_FINAL_DELAY_SECONDS = 1.0
# A caller that received neither GOAWAY gets a "not run" response until then.
GOAWAY_GRACE_SECONDS = 2.0
MAX_BATCH_SIZE = 64
# Operators end an evacuation after minutes, and a change is in force within 5 s.
NO_UPSTREAM_RETRY_AFTER_SECONDS = 5.0

request_ids = itertools.count(1)


@define(eq=False)
class _Stream:
    stream_id: int
    head: RequestHead | None = None
    body: bytearray = field(factory=bytearray)
    request_id: int = 0
    is_completed: bool = False


class RequestConnection:
    """Terminates one HTTP/3 connection and submits its requests to the runner."""

    def __init__(
        self,
        *,
        configuration: QuicConfiguration,
        original_connection_id: bytes,
        caller: Endpoint,
        service: Service,
        settings: AgentSettings,
        runner: RequestRunner,
        refusals: ServiceRefusals,
        clock: Clock,
        counters: Counters,
        send: Callable[[bytes], None],
        on_connection_id: Callable[[bytes, bool], None],
    ) -> None:
        """Initializes the connection; `run` is its task.

        Args:
            configuration: TLS settings and limits of the server.
            original_connection_id: Connection id of the caller's first packet.
            caller: The caller's endpoint.
            service: The service that the flow belongs to.
            settings: Settings of the agent.
            runner: Receives the requests.
            refusals: Services whose new requests are refused.
            clock: Clock of the process.
            counters: Counters of the process.
            send: Sends a datagram to the caller.
            on_connection_id: Called with each local connection id and whether it is
                issued (True) or retired (False).
        """
        self.service = service
        self._quic = QuicConnection(
            configuration=configuration,
            original_destination_connection_id=original_connection_id,
        )
        self._http = H3Connection(self._quic)
        self._caller = caller
        self._peer_address = (caller.host, caller.port)
        self._settings = settings
        self._runner = runner
        self._refusals = refusals
        # An older connection is an open flow, which an evacuation does not end.
        self._opened_to_refuse = (
            refusals.error_of(service.service_id) is ErrorKind.NO_UPSTREAM
        )
        self._clock = clock
        self._counters = counters
        self._send = send
        self._on_connection_id = on_connection_id
        self._inbox: queue.SimpleQueue[Command] = queue.SimpleQueue()
        self._streams_by_id: dict[int, _Stream] = {}
        self._next_stream_id = 0
        self._goaway_started_at: float | None = None
        self._goaway_stream_id = GOAWAY_FIRST_STREAM_ID
        self._is_closing = False
        self._is_terminated = False

    @property
    def connection_id(self) -> bytes:
        """The first connection id that the server chose."""
        return bytes(self._quic.host_cid)

    def post(self, command: Command) -> None:
        """Queues a command for the connection's task; thread-safe.

        Args:
            command: The command.
        """
        self._inbox.put(command)

    def run(self) -> None:
        """Serves the connection until it is terminated."""
        try:
            while not self._is_terminated:
                self._step()
        finally:
            for stream in self._streams_by_id.values():
                if stream.request_id:
                    self._runner.handle_connection_loss(stream.request_id)
            self._streams_by_id.clear()

    def _step(self) -> None:
        timeout = self._seconds_until_timer()
        try:
            command = self._inbox.get(timeout=timeout)
        except queue.Empty:
            self._quic.handle_timer(self._clock())
        else:
            self._execute(command)
            for _ in range(MAX_BATCH_SIZE):
                if self._inbox.empty():
                    break
                self._execute(self._inbox.get())
        self._handle_quic_events()
        self._advance_goaway()
        self._flush()

    def _seconds_until_timer(self) -> float | None:
        timer = self._quic.get_timer()
        next_step_at = self._next_goaway_step_at()
        if next_step_at is not None:
            timer = next_step_at if timer is None else min(timer, next_step_at)
        if timer is None:
            return None
        return max(timer - self._clock(), 0.001)

    def _execute(self, command: Command) -> None:
        if isinstance(command, ReceiveDatagram):
            self._quic.receive_datagram(
                command.payload, self._peer_address, self._clock()
            )
            # Before the next command: no response may be sent on a stream that this
            # datagram cancels.
            self._handle_quic_events()
        elif isinstance(command, GoAway):
            self._start_goaway()
        elif isinstance(command, CloseConnection):
            if not command.is_abrupt:
                self._close()
                self._flush()
            self._is_terminated = True
        else:
            self._respond(command)

    def _respond(
        self,
        command: StartResponse | SendData | EndResponse | AbortResponse | FailResponse,
    ) -> None:
        stream = self._streams_by_id.get(command.stream_id)
        if stream is None or self._is_terminated:
            # The caller cancelled the request or already has its final response.
            self._counters.add("answers.late")
            return
        if isinstance(command, StartResponse):
            fields = [(b":status", str(command.status).encode())]
            fields += [(k.encode(), v.encode("latin-1")) for k, v in command.headers]
            self._http.send_headers(stream.stream_id, fields)
        elif isinstance(command, SendData):
            self._http.send_data(stream.stream_id, command.chunk, end_stream=False)
        elif isinstance(command, FailResponse):
            self._send_failure(stream, command.error, command.retry_after)
        else:
            if isinstance(command, EndResponse):
                self._http.send_data(stream.stream_id, b"", end_stream=True)
            else:
                self._quic.reset_stream(stream.stream_id, ErrorCode.H3_INTERNAL_ERROR)
            self._remove_stream(stream)

    def _send_failure(
        self, stream: _Stream, error: ErrorKind, retry_after: float | None
    ) -> None:
        fields = failure_fields(error, retry_after=retry_after)
        self._counters.add(f"requests.failed.{error.value}")
        self._http.send_headers(stream.stream_id, fields, end_stream=True)
        self._remove_stream(stream)

    def _remove_stream(self, stream: _Stream) -> None:
        stream.is_completed = True
        self._streams_by_id.pop(stream.stream_id, None)

    def _handle_quic_events(self) -> None:
        while (event := self._quic.next_event()) is not None:
            self._handle_quic_event(event)

    def _handle_quic_event(self, event: QuicEvent) -> None:
        if isinstance(event, ConnectionTerminated):
            self._is_terminated = True
        elif isinstance(event, ConnectionIdIssued):
            self._on_connection_id(event.connection_id, True)
        elif isinstance(event, ConnectionIdRetired):
            self._on_connection_id(event.connection_id, False)
        elif isinstance(event, (StreamReset, StopSendingReceived)):
            self._on_cancel(event.stream_id)
        for http_event in self._http.handle_event(event):
            self._handle_http_event(http_event)

    def _on_cancel(self, stream_id: int) -> None:
        stream = self._streams_by_id.pop(stream_id, None)
        if stream is None:
            return
        self._counters.add("requests.cancelled")
        if stream.request_id:
            self._runner.cancel(stream.request_id)
        self._quic.reset_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)

    def _handle_http_event(self, event: H3Event) -> None:
        if isinstance(event, HeadersReceived):
            stream = self._get_or_create_stream(event.stream_id)
            if stream.head is None and not stream.is_completed:
                self._read_head(stream, event)
        elif isinstance(event, DataReceived):
            stream = self._get_or_create_stream(event.stream_id)
            if not stream.is_completed:
                self._append_body(stream, event.data)
        else:
            return
        if event.stream_ended and not stream.is_completed and not stream.request_id:
            self._submit(stream)

    def _get_or_create_stream(self, stream_id: int) -> _Stream:
        if stream_id < self._next_stream_id:
            # A removed stream was completed or cancelled.
            existing = self._streams_by_id.get(stream_id)
            return existing or _Stream(stream_id, is_completed=True)
        self._next_stream_id = stream_id + 4
        stream = self._streams_by_id[stream_id] = _Stream(stream_id)
        return stream

    def _read_head(self, stream: _Stream, event: HeadersReceived) -> None:
        try:
            stream.head = read_head(
                event.headers, timeout=self._settings.request_timeout
            )
        except SiskinshiftError as error:
            self._send_failure(stream, error.kind, None)
            return
        if self._find_refusal(stream) is not None:
            # At once, without waiting for the body.
            self._submit(stream)

    def _append_body(self, stream: _Stream, data: bytes) -> None:
        stream.body += data
        if len(stream.body) > self._settings.body_maximum:
            self._send_failure(stream, ErrorKind.TOO_LARGE, None)

    def _submit(self, stream: _Stream) -> None:
        head = stream.head
        if head is None:
            self._send_failure(stream, ErrorKind.INVALID_ARGUMENT, None)
            return
        refusal = self._find_refusal(stream)
        if refusal is ErrorKind.DRAINING:
            self._send_failure(stream, refusal, 0.0)
            return
        try:
            group_id = find_group_id(self.service, head.authorization)
        except SiskinshiftError as error:
            self._send_failure(stream, error.kind, None)
            return
        now = self._clock()
        stream.request_id = next(request_ids)
        request = Request(
            request_id=stream.request_id,
            service_id=self.service.service_id,
            group_id=group_id,
            caller=self._caller.host,
            key=head.key,
            repeatable=head.is_repeatable,
            arrived_at=now,
            deadline=now + head.timeout,
            pinned=self._runner.pinned_paths.is_pinned(
                head.path, head.headers, body_size=len(stream.body)
            ),
        )
        if refusal is not None:
            self._runner.record_refusal(request)
            self._send_failure(stream, refusal, NO_UPSTREAM_RETRY_AFTER_SECONDS)
            return
        http_request = HttpRequest(
            request=request,
            method=head.method,
            path=head.path,
            headers=head.headers,
            body=bytes(stream.body),
            writer=ConnectionResponseWriter(stream.stream_id, self.post),
        )
        stream.body.clear()
        self._runner.submit(http_request)

    def _find_refusal(self, stream: _Stream) -> ErrorKind | None:
        error = self._refusals.error_of(self.service.service_id)
        if stream.stream_id >= self._goaway_stream_id:
            return error or ErrorKind.DRAINING
        return error if self._opened_to_refuse else None

    def _start_goaway(self) -> None:
        if self._goaway_started_at is not None or self._is_terminated:
            return
        self._goaway_started_at = self._clock()
        self._send_goaway()

    def _send_goaway(self) -> None:
        # aioquic has no method for GOAWAY: it is one frame on the control stream.
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(self._goaway_stream_id))
        control_stream_id = self._http._local_control_stream_id
        if control_stream_id is not None:
            self._quic.send_stream_data(control_stream_id, frame)

    def _next_goaway_step_at(self) -> float | None:
        if self._goaway_started_at is None:
            return None
        if self._goaway_stream_id == GOAWAY_FIRST_STREAM_ID:
            return self._goaway_started_at + GOAWAY_FINAL_DELAY_SECONDS
        if self._streams_by_id or self._is_closing:
            return None
        return self._goaway_started_at + GOAWAY_GRACE_SECONDS

    def _advance_goaway(self) -> None:
        next_step_at = self._next_goaway_step_at()
        if next_step_at is None or self._clock() < next_step_at:
            return
        if self._goaway_stream_id == GOAWAY_FIRST_STREAM_ID:
            self._goaway_stream_id = self._next_stream_id
            self._send_goaway()
        else:
            self._close()

    def _close(self) -> None:
        self._is_closing = True
        self._quic.close(error_code=ErrorCode.H3_NO_ERROR)

    def _flush(self) -> None:
        if self._is_terminated:
            return
        for datagram, _ in self._quic.datagrams_to_send(self._clock()):
            self._send(datagram)
