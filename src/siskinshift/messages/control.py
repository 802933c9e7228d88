"""Messages of schema/messages/control.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen


@frozen
class ErrorReply:
    """Reply to a message that is refused.

    Attributes:
        error: Error kind, a value of ErrorKind.
        detail: Description of the error, for logs.
    """

    error: str
    detail: str = ""
