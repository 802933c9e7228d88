"""Signs and verifies messages between processes and their replies.

A signature consists of the time in unix milliseconds and the authenticator of path,
time and body. Messages older than REPLAY_WINDOW_MILLISECONDS are refused, so that
replayed heartbeats can't keep a dead member alive for longer. The signature of a reply
covers the signature of its message, so that it is valid for no other message.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core import clocks


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing


# Allows for the clock skew between instances.
REPLAY_WINDOW_MILLISECONDS = 60_000
_SEPARATOR = "."


def sign_message(key_ring: KeyRing, path: str, body: bytes) -> str:
    """Signs a message with the current time.

    Args:
        key_ring: Keys of the deployment.
        path: URL path.
        body: Body as sent.

    Returns:
        Value of the authenticator header.
    """
    time_text = str(clocks.unix_milliseconds())
    authenticator = key_ring.sign(_message_data(path, time_text, body)).hex()
    return f"{time_text}{_SEPARATOR}{authenticator}"


def verify_message(key_ring: KeyRing, path: str, body: bytes, signature: str) -> bool:
    """Verifies the signature and the age of a message.

    Args:
        key_ring: Keys of the deployment.
        path: URL path.
        body: Body as received.
        signature: Value of the authenticator header.

    Returns:
        Whether it was signed with an accepted key within the replay window.
    """
    time_text, _, authenticator_text = signature.partition(_SEPARATOR)
    try:
        age = clocks.unix_milliseconds() - int(time_text)
        authenticator = bytes.fromhex(authenticator_text)
    except ValueError:
        return False
    if abs(age) > REPLAY_WINDOW_MILLISECONDS:
        return False
    return key_ring.verify(_message_data(path, time_text, body), authenticator)


def sign_reply(key_ring: KeyRing, message_signature: str, body: bytes) -> str:
    """Signs a reply.

    Args:
        key_ring: Keys of the deployment.
        message_signature: Signature of the message it replies to.
        body: Body as sent.

    Returns:
        Value of the authenticator header.
    """
    return key_ring.sign(_reply_data(message_signature, body)).hex()


def verify_reply(
    key_ring: KeyRing, message_signature: str, body: bytes, signature: str
) -> bool:
    """Verifies the signature of a reply.

    Args:
        key_ring: Keys of the deployment.
        message_signature: Signature of the message that was sent.
        body: Body as received.
        signature: Value of the authenticator header.

    Returns:
        Whether it was signed with an accepted key as a reply to this message.
    """
    try:
        authenticator = bytes.fromhex(signature)
    except ValueError:
        return False
    return key_ring.verify(_reply_data(message_signature, body), authenticator)


def _message_data(path: str, time_text: str, body: bytes) -> bytes:
    return b"\n".join((path.encode(), time_text.encode(), body))


def _reply_data(message_signature: str, body: bytes) -> bytes:
    return b"\n".join((message_signature.encode(), body))
