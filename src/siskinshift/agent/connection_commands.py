"""Commands to the task of a caller's connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from attrs import frozen

from siskinshift.core.errors import ErrorKind


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.agent.calls import Headers


@frozen
class TakeDatagram:
    """Command: a datagram of the caller came.

    Attributes:
        payload: The datagram.
    """

    payload: bytes


@frozen
class GoAway:
    """Command: tell the caller to send its next request on a new connection."""


@frozen
class CloseConnection:
    """Command: end at once.

    Attributes:
        is_silent: Whether the caller is left without a word.
    """

    is_silent: bool


@frozen
class StartAnswer:
    """Command: send the head of an answer.

    Attributes:
        stream_id: Stream of the request.
        status: HTTP status.
        headers: End-to-end headers.
    """

    stream_id: int
    status: int
    headers: tuple[tuple[str, str], ...]


@frozen
class SendData:
    """Command: send a piece of an answer's body.

    Attributes:
        stream_id: Stream of the request.
        chunk: The piece.
    """

    stream_id: int
    chunk: bytes


@frozen
class EndAnswer:
    """Command: end a whole answer.

    Attributes:
        stream_id: Stream of the request.
    """

    stream_id: int


@frozen
class AbortAnswer:
    """Command: reset the stream of an answer that stays incomplete.

    Attributes:
        stream_id: Stream of the request.
    """

    stream_id: int


@frozen
class FailAnswer:
    """Command: give the final answer for a request without the upstream's.

    Attributes:
        stream_id: Stream of the request.
        error: Why.
        retry_after: Hint in seconds, or None.
    """

    stream_id: int
    error: ErrorKind
    retry_after: float | None


AnswerCommand: TypeAlias = StartAnswer | SendData | EndAnswer | AbortAnswer | FailAnswer
Command: TypeAlias = TakeDatagram | GoAway | CloseConnection | AnswerCommand


class ConnectionReply:
    """Passes an answer to the connection's task as commands."""

    def __init__(self, stream_id: int, post: Callable[[Command], None]) -> None:
        """Binds the reply to a stream.

        Args:
            stream_id: Stream of the request.
            post: Takes commands for the connection.
        """
        self._stream_id = stream_id
        self._post = post

    def start(self, status: int, headers: Headers) -> None:
        """Passes the head of the upstream's answer on."""
        self._post(StartAnswer(self._stream_id, status, headers))

    def data(self, chunk: bytes) -> None:
        """Passes a piece of the body on as it came."""
        self._post(SendData(self._stream_id, chunk))

    def end(self) -> None:
        """Ends a whole answer."""
        self._post(EndAnswer(self._stream_id))

    def abort(self) -> None:
        """Ends an answer that stays incomplete."""
        self._post(AbortAnswer(self._stream_id))

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        """Gives the final answer for a request that has none of the upstream."""
        self._post(FailAnswer(self._stream_id, error, retry_after))
