"""Defines the messages between processes and the calls that send them."""

from __future__ import annotations

from typing import TypeAlias

from attrs import frozen

from siskinshift.messages.core import Endpoint
from siskinshift.messages.membership import Compare
from siskinshift.messages.membership import CompareReply
from siskinshift.messages.membership import Digest
from siskinshift.messages.membership import DigestReply
from siskinshift.messages.membership import HeardQuery
from siskinshift.messages.membership import HeardReply
from siskinshift.messages.membership import Heartbeat
from siskinshift.messages.membership import HeartbeatReply
from siskinshift.messages.membership import News
from siskinshift.messages.membership import NewsReply
from siskinshift.messages.membership import Ping


Message: TypeAlias = Heartbeat | Ping | HeardQuery | News | Digest | Compare
Reply: TypeAlias = (
    HeartbeatReply | Heartbeat | HeardReply | NewsReply | DigestReply | CompareReply
)

PATHS_BY_MESSAGE_TYPE: dict[type[Message], str] = {
    Heartbeat: "/v1/heartbeat",
    Ping: "/v1/ping",
    HeardQuery: "/v1/heard",
    News: "/v1/news",
    Digest: "/v1/digest",
    Compare: "/v1/compare",
}
REPLY_TYPES_BY_MESSAGE_TYPE: dict[type[Message], type[Reply]] = {
    Heartbeat: HeartbeatReply,
    Ping: Heartbeat,
    HeardQuery: HeardReply,
    News: NewsReply,
    Digest: DigestReply,
    Compare: CompareReply,
}


@frozen
class Call:
    """A message to send over HTTP; the sender reports the reply or the failure.

    Attributes:
        endpoint: Control endpoint of the receiver.
        message: The message.
    """

    endpoint: Endpoint
    message: Message
