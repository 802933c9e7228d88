"""Signs messages between processes and checks them, replies included.

A signature is the time in unix milliseconds and the authenticator of path, time
and body. A message older than REPLAY_WINDOW_MILLISECONDS is refused: whoever
recorded a heartbeat can't keep a dead member alive for longer. A reply is signed
together with the signature it answers, so it fits no other message.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core import clocks


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing


# Clocks of instances may differ by this much.
REPLAY_WINDOW_MILLISECONDS = 60_000
_SEPARATOR = "."


def sign_message(key_ring: KeyRing, path: str, body: bytes) -> str:
    """Signs a message with the time of now.

    Args:
        key_ring: Keys of the deployment.
        path: Path of the URL.
        body: Body as it is sent.

    Returns:
        The signature for the header.
    """
    time_text = str(clocks.unix_milliseconds())
    authenticator = key_ring.sign(_message_text(path, time_text, body)).hex()
    return f"{time_text}{_SEPARATOR}{authenticator}"


def verifies_message(key_ring: KeyRing, path: str, body: bytes, signature: str) -> bool:
    """Checks a message's signature and its age.

    Args:
        key_ring: Keys of the deployment.
        path: Path of the URL.
        body: Body as it arrived.
        signature: The header.

    Returns:
        Whether a process that holds a key sent it a short while ago.
    """
    time_text, _, authenticator_text = signature.partition(_SEPARATOR)
    try:
        age = clocks.unix_milliseconds() - int(time_text)
        authenticator = bytes.fromhex(authenticator_text)
    except ValueError:
        return False
    if abs(age) > REPLAY_WINDOW_MILLISECONDS:
        return False
    return key_ring.verify(_message_text(path, time_text, body), authenticator)


def sign_reply(key_ring: KeyRing, message_signature: str, body: bytes) -> str:
    """Signs a reply.

    Args:
        key_ring: Keys of the deployment.
        message_signature: Signature of the message it answers.
        body: Body as it is sent.

    Returns:
        The signature for the header.
    """
    return key_ring.sign(_reply_text(message_signature, body)).hex()


def verifies_reply(
    key_ring: KeyRing, message_signature: str, body: bytes, signature: str
) -> bool:
    """Checks a reply's signature.

    Args:
        key_ring: Keys of the deployment.
        message_signature: Signature of the message it should answer.
        body: Body as it arrived.
        signature: The header.

    Returns:
        Whether a process that holds a key answered this very message.
    """
    try:
        authenticator = bytes.fromhex(signature)
    except ValueError:
        return False
    return key_ring.verify(_reply_text(message_signature, body), authenticator)


def _message_text(path: str, time_text: str, body: bytes) -> bytes:
    return b"\n".join((path.encode(), time_text.encode(), body))


def _reply_text(message_signature: str, body: bytes) -> bytes:
    return b"\n".join((message_signature.encode(), body))
