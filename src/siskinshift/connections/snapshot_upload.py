"""Uploads an agent's flow snapshot to the balancer that writes it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.connections.flow_snapshot import UploadResult
from siskinshift.connections.snapshot_requests import SNAPSHOT_PATH
from siskinshift.connections.snapshot_requests import decode_result
from siskinshift.connections.snapshot_requests import encode_update_query
from siskinshift.connections.snapshot_writer import WRITE_TIMEOUT_SECONDS
from siskinshift.runtime.http_client import HttpClient


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.flow_snapshot import SnapshotUpdate
    from siskinshift.messages.core import Endpoint
    from siskinshift.observability.event_log import EventLog


CONNECT_TIMEOUT_SECONDS = 0.3
# The writer's own timeout and the round trip.
RESPONSE_TIMEOUT_SECONDS = WRITE_TIMEOUT_SECONDS + 0.5


class SnapshotUpload:
    """The connection of one agent to its writer, with one request at a time."""

    def __init__(
        self,
        *,
        member_id: str,
        writer: Callable[[], Endpoint | None],
        log: EventLog,
    ) -> None:
        """Initializes the upload; the first request opens the connection.

        Args:
            member_id: Id of the agent.
            writer: Returns the endpoint of the writer, None if there is none; called on
                the thread of `upload`.
            log: Event log.
        """
        self._path = SNAPSHOT_PATH + member_id
        self._writer = writer
        self._log = log
        self._endpoint: Endpoint | None = None
        self._client: HttpClient | None = None

    def upload(self, update: SnapshotUpdate) -> UploadResult:
        """Uploads the snapshot.

        Args:
            update: The snapshot and the revision that it replaces.

        Returns:
            The result.
        """
        endpoint = self._writer()
        if endpoint is None:
            # Nothing was sent, so the revision is still the current one.
            return UploadResult(is_written=False, revision=update.revision)
        client = self._client_to(endpoint)
        if endpoint != self._endpoint:
            update = attrs.evolve(update, is_unchanged=False)
        target = f"{self._path}?{encode_update_query(update)}"
        try:
            response = client.request(
                "POST", target, update.value, timeout=RESPONSE_TIMEOUT_SECONDS
            )
        except OSError as error:
            # The agent writes it itself; the next step chooses a writer again.
            self._log.decision(
                "flow list not handed over", writer=endpoint.host, error=str(error)
            )
            self._endpoint = None
            return UploadResult()
        result = decode_result(response)
        self._endpoint = endpoint if result.is_written else None
        return result

    def close(self) -> None:
        """Closes the connection and aborts a request in progress."""
        if self._client is not None:
            self._client.close()

    def _client_to(self, endpoint: Endpoint) -> HttpClient:
        if self._client is None or self._client.address != (
            endpoint.host,
            endpoint.port,
        ):
            self.close()
            self._client = HttpClient(
                endpoint.host, endpoint.port, connect_timeout=CONNECT_TIMEOUT_SECONDS
            )
        return self._client
