"""Callers of services of mode `request`: HTTP/3 clients."""

from __future__ import annotations

import itertools
import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING

import orjson

from siskinshift.demo.http3_client import ConnectionLostError
from siskinshift.demo.http3_client import Http3Client
from siskinshift.demo.http3_client import Response
from siskinshift.standins.http_upstream import document_chunk


if TYPE_CHECKING:
    import threading
    from concurrent.futures import Executor

    from siskinshift.demo.caller_statistics import CallerStatistics
    from siskinshift.messages.core import Endpoint


OK_STATUS = 200
RESPONSE_TIMEOUT_SECONDS = 10.0
# Events arrive twice a second; a stream without one for this time counts as broken.
STREAM_TIMEOUT_SECONDS = 5.0
# After GOAWAY, the stream on the new connection must send an event within this time.
FIRST_EVENT_TIMEOUT_SECONDS = 8.0
POLL_SECONDS = 0.1
DOCUMENT_SIZE = 40_000

_request_numbers = itertools.count(1)


class RequestCaller:
    """Sends requests one after the other; opens a new connection on GOAWAY."""

    def __init__(
        self,
        address: Endpoint,
        service_id: str,
        *,
        executor: Executor,
        statistics: CallerStatistics,
    ) -> None:
        """Prepares the caller.

        Args:
            address: Service address.
            service_id: Id of the service, with which the names of upstreams begin.
            executor: Executor that runs the tasks of connections.
            statistics: Where to record the results.
        """
        self._address = address
        self._service_id = service_id
        self._executor = executor
        self._statistics = statistics
        self._client: Http3Client | None = None

    def run(self, stopping: threading.Event, interval_seconds: float) -> None:
        """Sends requests until `stopping` is set.

        Args:
            stopping: Ends the task when set.
            interval_seconds: Seconds between two requests.
        """
        while not stopping.wait(interval_seconds):
            self._ensure_connection()
            self._send_request()
        self._close_connection()

    def _connect(self) -> Http3Client:
        self._statistics.add("connections")
        return Http3Client(self._address, executor=self._executor)

    def _ensure_connection(self) -> None:
        client = self._client
        if client is not None and (client.is_closed or client.goaway_received):
            self._close_connection()
        if self._client is None:
            self._client = self._connect()

    def _close_connection(self) -> None:
        # It may never respond again: the next request uses a new connection.
        if self._client is not None:
            self._client.close()
            self._client = None

    def _send_request(self) -> None:
        raise NotImplementedError

    def _exchange(
        self, request_id: str, method: str, path: str, body: bytes
    ) -> Response | None:
        headers = {"x-request-id": request_id, "x-service": self._service_id}
        self._statistics.add("requests")
        assert self._client is not None
        future = self._client.request(method, path, headers=headers, body=body)
        try:
            response = future.result(RESPONSE_TIMEOUT_SECONDS)
        except (ConnectionLostError, FutureTimeoutError):
            self._statistics.unknown.add(request_id)
            self._close_connection()
            return None
        if response.status == OK_STATUS:
            self._statistics.answered.add(request_id)
            return response
        outcome = response.fields.get("siskinshift-outcome", "")
        error = response.fields.get("siskinshift-error", "")
        self._statistics.add(f"answers.{response.status}.{outcome}.{error}")
        if outcome == "not_run":
            self._statistics.not_run.add(request_id)
        else:
            self._statistics.unknown.add(request_id)
        return None


class WritingCaller(RequestCaller):
    """Sends saves or bookings, none of which may run twice."""

    work_milliseconds = 20

    def _send_request(self) -> None:
        request_id = f"write-{next(_request_numbers)}"
        body = f"{request_id} of {self._service_id}"
        path = f"/work?ms={self.work_milliseconds}"
        response = self._exchange(request_id, "POST", path, body.encode())
        if response is None:
            return
        document = orjson.loads(bytes(response.body))
        self._statistics.check_upstream(self._service_id, document["upstream"])
        if document["request_id"] != request_id or document["echo"] != body:
            self._statistics.add("answers_wrong")


class DocumentCaller(RequestCaller):
    """Fetches documents and verifies each byte."""

    def _send_request(self) -> None:
        request_id = f"read-{next(_request_numbers)}"
        path = f"/document?bytes={DOCUMENT_SIZE}&ms=10"
        response = self._exchange(request_id, "GET", path, b"")
        if response is None:
            return
        if bytes(response.body) != document_chunk(0, DOCUMENT_SIZE):
            self._statistics.add("answers_wrong")


class _EventStream:
    """An event stream on its own connection."""

    def __init__(self, client: Http3Client, service_id: str) -> None:
        self.client = client
        self.owner = ""
        self.opened_at = time.monotonic()
        self.last_event_at = self.opened_at
        headers = {"x-service": service_id}
        self.future: Future[Response] = client.request(
            "GET", "/stream", headers=headers, on_data=self._on_data
        )

    def is_alive(self) -> bool:
        idle_seconds = time.monotonic() - self.last_event_at
        timeout_seconds = (
            STREAM_TIMEOUT_SECONDS if self.owner else FIRST_EVENT_TIMEOUT_SECONDS
        )
        return not self.future.done() and idle_seconds < timeout_seconds

    def end_reason(self) -> str:
        if not self.owner:
            return "stream never began"
        return "stream ended" if self.future.done() else "stream silent"

    def close(self) -> None:
        self.client.cancel(self.future)
        self.client.close()

    def _on_data(self, data: bytes) -> None:
        self.last_event_at = time.monotonic()
        if not self.owner and data.startswith(b"data: "):
            self.owner = data.split()[1].decode()


class StreamCaller(WritingCaller):
    """Keeps an event stream open for the whole demo and sends saves periodically.

    On GOAWAY it opens the new stream before it closes the old one, so that a planned
    change does not interrupt the stream.
    """

    def run(self, stopping: threading.Event, interval_seconds: float) -> None:
        """Keeps the stream open until `stopping` is set.

        Args:
            stopping: Ends the task when set.
            interval_seconds: Seconds between two saves.
        """
        stream = self._open_stream()
        last_save_at = time.monotonic()
        while not stopping.wait(POLL_SECONDS):
            if not stream.is_alive():
                self._statistics.record_broken_flow(stream.owner, stream.end_reason())
                stream.close()
                stream = self._open_stream()
            elif stream.client.goaway_received:
                stream = self._migrate(stream)
            if time.monotonic() - last_save_at >= interval_seconds:
                last_save_at = time.monotonic()
                self._save(stream)
        stream.close()
        self._record_owner(stream)

    def _open_stream(self) -> _EventStream:
        self._statistics.add("flows_opened")
        return _EventStream(self._connect(), self._service_id)

    def _migrate(self, old_stream: _EventStream) -> _EventStream:
        new_stream = self._open_stream()
        deadline = time.monotonic() + FIRST_EVENT_TIMEOUT_SECONDS
        while not new_stream.owner and time.monotonic() < deadline:
            time.sleep(POLL_SECONDS)
        if not old_stream.is_alive():
            self._statistics.record_broken_flow(
                old_stream.owner, f"{old_stream.end_reason()} while moving"
            )
        self._statistics.add("streams_moved")
        self._record_owner(old_stream)
        old_stream.close()
        return new_stream

    def _record_owner(self, stream: _EventStream) -> None:
        if stream.owner:
            self._statistics.check_upstream(self._service_id, stream.owner)

    def _save(self, stream: _EventStream) -> None:
        self._client = stream.client
        self._send_request()

    def _close_connection(self) -> None:
        # The event stream on the connection detects its failure.
        return
