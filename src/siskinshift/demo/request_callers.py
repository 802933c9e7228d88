"""Callers of services of mode `request`: ordinary HTTP/3 clients."""

from __future__ import annotations

import itertools
import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING

import orjson

from siskinshift.demo.http3_client import Answer
from siskinshift.demo.http3_client import ConnectionLostError
from siskinshift.demo.http3_client import Http3Client
from siskinshift.standins.http_upstream import document_chunk


if TYPE_CHECKING:
    import threading
    from concurrent.futures import Executor

    from siskinshift.demo.ledger import Ledger
    from siskinshift.messages.core import Endpoint


OK_STATUS = 200
ANSWER_TIMEOUT_SECONDS = 10.0
# Events come twice a second; this long without one means that the flow is dead.
STREAM_SILENCE_SECONDS = 5.0
# Within this time of a GOAWAY the caller has its stream on another connection.
FIRST_EVENT_SECONDS = 8.0
PAUSE_SECONDS = 0.1
DOCUMENT_SIZE = 40_000

_request_numbers = itertools.count(1)


class RequestCaller:
    """Sends requests one after the other; moves on GOAWAY as HTTP/3 clients do."""

    def __init__(
        self, address: Endpoint, service_id: str, *, executor: Executor, ledger: Ledger
    ) -> None:
        """Prepares the caller.

        Args:
            address: Service address.
            service_id: Name of the service; upstreams' names begin with it.
            executor: Runs the tasks of connections.
            ledger: Where to count.
        """
        self._address = address
        self._service_id = service_id
        self._executor = executor
        self._ledger = ledger
        self._client: Http3Client | None = None

    def run(self, stopping: threading.Event, pause: float) -> None:
        """Sends requests until told to stop.

        Args:
            stopping: Ends the task when set.
            pause: Seconds between two requests.
        """
        while not stopping.wait(pause):
            self._renew()
            self._send_one()
        self._give_up_connection()

    def _connect(self) -> Http3Client:
        self._ledger.add("connections")
        return Http3Client(self._address, executor=self._executor)

    def _renew(self) -> None:
        client = self._client
        if client is not None and (client.is_lost or client.goaway_received):
            self._give_up_connection()
        if self._client is None:
            self._client = self._connect()

    def _give_up_connection(self) -> None:
        # It may be silent for good: the next request goes on another one.
        if self._client is not None:
            self._client.close()
            self._client = None

    def _send_one(self) -> None:
        raise NotImplementedError

    def _exchange(
        self, request_id: str, method: str, path: str, body: bytes
    ) -> Answer | None:
        headers = {"x-request-id": request_id, "x-service": self._service_id}
        self._ledger.add("requests")
        assert self._client is not None
        future = self._client.request(method, path, headers=headers, body=body)
        try:
            answer = future.result(ANSWER_TIMEOUT_SECONDS)
        except (ConnectionLostError, FutureTimeoutError):
            self._ledger.unknown.add(request_id)
            self._give_up_connection()
            return None
        if answer.status == OK_STATUS:
            self._ledger.answered.add(request_id)
            return answer
        outcome = answer.fields.get("siskinshift-outcome", "")
        error = answer.fields.get("siskinshift-error", "")
        self._ledger.add(f"answers.{answer.status}.{outcome}.{error}")
        if outcome == "not_run":
            self._ledger.refused.add(request_id)
        else:
            self._ledger.unknown.add(request_id)
        return None


class WritingCaller(RequestCaller):
    """Sends saves or bookings, none of which may run twice."""

    work_milliseconds = 20

    def _send_one(self) -> None:
        request_id = f"write-{next(_request_numbers)}"
        body = f"{request_id} of {self._service_id}"
        path = f"/work?ms={self.work_milliseconds}"
        answer = self._exchange(request_id, "POST", path, body.encode())
        if answer is None:
            return
        text = orjson.loads(bytes(answer.body))
        self._ledger.answered_by(self._service_id, text["upstream"])
        if text["request_id"] != request_id or text["echo"] != body:
            self._ledger.add("answers_wrong")


class DocumentCaller(RequestCaller):
    """Fetches documents and checks each byte."""

    def _send_one(self) -> None:
        request_id = f"read-{next(_request_numbers)}"
        path = f"/document?bytes={DOCUMENT_SIZE}&ms=10"
        answer = self._exchange(request_id, "GET", path, b"")
        if answer is None:
            return
        if bytes(answer.body) != document_chunk(0, DOCUMENT_SIZE):
            self._ledger.add("answers_wrong")


class _EventStream:
    """One stream on one connection."""

    def __init__(self, client: Http3Client, service_id: str) -> None:
        self.client = client
        self.owner = ""
        self.opened_at = time.monotonic()
        self.last_event_at = self.opened_at
        headers = {"x-service": service_id}
        self.future: Future[Answer] = client.request(
            "GET", "/stream", headers=headers, on_data=self._on_data
        )

    def is_alive(self) -> bool:
        silence = time.monotonic() - self.last_event_at
        allowed = STREAM_SILENCE_SECONDS if self.owner else FIRST_EVENT_SECONDS
        return not self.future.done() and silence < allowed

    def how_it_ended(self) -> str:
        if not self.owner:
            return "stream never began"
        return "stream ended" if self.future.done() else "stream silent"

    def end(self) -> None:
        self.client.cancel(self.future)
        self.client.close()

    def _on_data(self, data: bytes) -> None:
        self.last_event_at = time.monotonic()
        if not self.owner and data.startswith(b"data: "):
            self.owner = data.split()[1].decode()


class StreamCaller(WritingCaller):
    """Holds an event stream for the whole demo and sends a save now and then.

    On GOAWAY it opens its next stream first and then leaves the old one, so that a
    planned change costs it nothing.
    """

    def run(self, stopping: threading.Event, pause: float) -> None:
        """Holds the stream until told to stop.

        Args:
            stopping: Ends the task when set.
            pause: Seconds between two saves.
        """
        stream = self._open_stream()
        saved_at = time.monotonic()
        while not stopping.wait(PAUSE_SECONDS):
            if not stream.is_alive():
                self._ledger.flow_ended(stream.owner, stream.how_it_ended())
                stream.end()
                stream = self._open_stream()
            elif stream.client.goaway_received:
                stream = self._move(stream)
            if time.monotonic() - saved_at >= pause:
                saved_at = time.monotonic()
                self._save(stream)
        stream.end()
        self._check_owner(stream)

    def _open_stream(self) -> _EventStream:
        self._ledger.add("flows_opened")
        return _EventStream(self._connect(), self._service_id)

    def _move(self, old: _EventStream) -> _EventStream:
        new = self._open_stream()
        until = time.monotonic() + FIRST_EVENT_SECONDS
        while not new.owner and time.monotonic() < until:
            time.sleep(PAUSE_SECONDS)
        if not old.is_alive():
            self._ledger.flow_ended(old.owner, f"{old.how_it_ended()} while moving")
        self._ledger.add("streams_moved")
        self._check_owner(old)
        old.end()
        return new

    def _check_owner(self, stream: _EventStream) -> None:
        if stream.owner:
            self._ledger.answered_by(self._service_id, stream.owner)

    def _save(self, stream: _EventStream) -> None:
        self._client = stream.client
        self._send_one()

    def _give_up_connection(self) -> None:
        # The stream on it tells whether the connection is dead.
        return
