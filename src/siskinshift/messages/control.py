"""Messages of schema/messages/control.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen


@frozen
class ErrorReply:
    """What a process answers to a message that it refuses.

    Attributes:
        error: Error kind of the closed list.
        detail: What was wrong, for the log.
    """

    error: str
    detail: str = ""
