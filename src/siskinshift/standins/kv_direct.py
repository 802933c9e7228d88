"""A transport that calls the key-value stand-in directly, without sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from siskinshift.core.http import HttpResponse
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.standins.kv_state import ResponseLost


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from siskinshift.standins.kv_state import KvState


class DirectTransport:
    """Passes requests to the state of the stand-in in the same thread."""

    def __init__(self, state: KvState) -> None:
        self._state = state

    def post(self, path: str, body: bytes) -> HttpResponse:
        """Sends a request.

        Args:
            path: Path of the URL.
            body: Encoded JSON.

        Returns:
            The response.

        Raises:
            StoreOutcomeUnknownError: The response was lost.
        """
        try:
            status, response = self._state.handle(path, orjson.loads(body))
        except ResponseLost as error:
            raise StoreOutcomeUnknownError("lost") from error
        garbage = self._state.faults.garbage
        encoded = orjson.dumps(response) if garbage is None else garbage
        return HttpResponse(status, encoded, _lower_names(self._state.headers))

    def stream(self, path: str, body: bytes) -> OneShotStream:
        """Opens a watch.

        Args:
            path: Path of the URL.
            body: Encoded JSON.

        Returns:
            The lines of the watch.

        Raises:
            StoreUnavailableError: The watch was rejected.
        """
        try:
            rejection_status = self._state.admit_request(path)
        except ResponseLost as error:
            raise StoreUnavailableError("lost") from error
        if rejection_status is not None:
            raise StoreUnavailableError("refused")
        create = orjson.loads(body)["create_request"]
        return OneShotStream(self._state, create)


class OneShotStream:
    """Yields the pending events once, then ends as after a read timeout."""

    def __init__(self, state: KvState, create: dict[str, str]) -> None:
        self._state = state
        self._create = create
        self._headers = _lower_names(state.headers)

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the response."""
        return self._headers

    def __iter__(self) -> Iterator[bytes]:
        """Reads the pending events.

        Yields:
            One line.
        """
        if self._state.faults.garbage is not None:
            yield self._state.faults.garbage
            return
        result, _ = self._state.events_from(self._create)
        yield orjson.dumps({"result": result})

    def close(self) -> None:
        """Does nothing: the stream holds no resources."""


def _lower_names(headers: Mapping[str, str]) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}
