"""Hands an agent's list of long flows to the balancer that keeps it."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from siskinshift.connections.snapshot_writer import AGAIN_QUERY
from siskinshift.connections.snapshot_writer import FLOW_LIST_PATH
from siskinshift.connections.snapshot_writer import WRITTEN_SECONDS
from siskinshift.runtime.http_client import HttpClient


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.messages.core import Endpoint
    from siskinshift.observability.event_log import EventLog


CONNECT_SECONDS = 0.3
# A writer answers within its own time and the way there and back.
ANSWER_SECONDS = WRITTEN_SECONDS + 0.5


class SnapshotUpload:
    """The connection of one agent to its writer, one call at a time."""

    def __init__(
        self,
        *,
        member_id: str,
        writer: Callable[[], Endpoint | None],
        log: EventLog,
    ) -> None:
        """Connects with the first call.

        Args:
            member_id: The agent.
            writer: Names the writer, None for none; called on the caller's thread.
            log: Takes a line when a writer did not answer.
        """
        self._path = FLOW_LIST_PATH + member_id
        self._writer = writer
        self._log = log
        self._endpoint: Endpoint | None = None
        self._client: HttpClient | None = None

    def hand_over(self, value: bytes, is_again: bool) -> bool:
        """Hands the list over.

        Args:
            value: The list.
            is_again: Whether a writer wrote the same list last.

        Returns:
            Whether it is written.
        """
        endpoint = self._writer()
        if endpoint is None:
            return False
        client = self._client_to(endpoint)
        has_it = is_again and endpoint == self._endpoint
        target = f"{self._path}?{AGAIN_QUERY}" if has_it else self._path
        try:
            answer = client.request("POST", target, value, timeout=ANSWER_SECONDS)
        except OSError as error:
            # The agent writes it itself; the next step looks for a writer again.
            self._log.decision(
                "flow list not handed over", writer=endpoint.host, error=str(error)
            )
            self._endpoint = None
            return False
        is_written = answer.status == HTTPStatus.OK
        self._endpoint = endpoint if is_written else None
        return is_written

    def close(self) -> None:
        """Ends the connection, and a call that is under way."""
        if self._client is not None:
            self._client.close()

    def _client_to(self, endpoint: Endpoint) -> HttpClient:
        if self._client is None or self._client.address != (
            endpoint.host,
            endpoint.port,
        ):
            self.close()
            self._client = HttpClient(
                endpoint.host, endpoint.port, connect_timeout=CONNECT_SECONDS
            )
        return self._client
