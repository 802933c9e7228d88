"""The key-value stand-in without sockets: calls it in the same thread."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from siskinshift.core.http import HttpAnswer
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.standins.kv_state import ResponseLost


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.standins.kv_state import KvState


class DirectTransport:
    """Calls the stand-in's state in the same thread."""

    def __init__(self, state: KvState) -> None:
        self._state = state

    def post(self, path: str, body: bytes) -> HttpAnswer:
        """Makes a call.

        Args:
            path: Path of the URL.
            body: The JSON.

        Returns:
            The answer.

        Raises:
            StoreOutcomeUnknownError: The answer was lost.
        """
        try:
            status, answer = self._state.answer(path, orjson.loads(body))
        except ResponseLost as error:
            raise StoreOutcomeUnknownError("lost") from error
        garbage = self._state.faults.garbage
        return HttpAnswer(status, orjson.dumps(answer) if garbage is None else garbage)

    def stream(self, path: str, body: bytes) -> OneShotStream:
        """Opens a watch.

        Args:
            path: Path of the URL.
            body: The JSON.

        Returns:
            Its lines.

        Raises:
            StoreUnavailableError: It was refused.
        """
        if self._state.count(path) is not None:
            raise StoreUnavailableError("refused")
        create = orjson.loads(body)["create_request"]
        return OneShotStream(self._state, create)


class OneShotStream:
    """Sends what there is, then ends as after a silence."""

    def __init__(self, state: KvState, create: dict[str, str]) -> None:
        self._state = state
        self._create = create

    def __iter__(self) -> Iterator[bytes]:
        """Reads what there is.

        Yields:
            One line.
        """
        if self._state.faults.garbage is not None:
            yield self._state.faults.garbage
            return
        result, _ = self._state.events_from(self._create)
        yield orjson.dumps({"result": result})

    def close(self) -> None:
        """Does nothing: it has ended already."""
