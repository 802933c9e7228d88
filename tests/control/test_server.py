"""Tests of the responses to valid, invalid and forged messages."""

from __future__ import annotations

import threading
import zlib
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import attrs
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinshift.control import signatures
from siskinshift.control.client import ControlClient
from siskinshift.control.codec import compress_body
from siskinshift.control.codec import decode_message
from siskinshift.control.codec import decompress_body
from siskinshift.control.codec import encode_message
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.exceptions import PeerUnreachableError
from siskinshift.control.server import ControlRoutes
from siskinshift.control.server import ControlServer
from siskinshift.control.signatures import sign_message
from siskinshift.core import clocks
from siskinshift.core.errors import ERROR_RESPONSES_BY_KIND
from siskinshift.core.errors import ErrorKind
from siskinshift.core.keyring import KeyRing
from siskinshift.membership.actions import PATHS_BY_MESSAGE_TYPE
from siskinshift.membership.actions import REPLY_TYPES_BY_MESSAGE_TYPE
from siskinshift.messages.control import ErrorReply
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.membership import News
from siskinshift.messages.membership import NewsReply
from siskinshift.settings.options import Secret
from tests.membership.fleet import make_member


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.settings.generated import Settings


PATH = "/v1/news"
MESSAGE_TYPES = sorted(
    {*PATHS_BY_MESSAGE_TYPE, *REPLY_TYPES_BY_MESSAGE_TYPE.values()},
    key=lambda message_type: message_type.__name__,
)


def handle_update(update: News) -> NewsReply:
    if update.sender_id == "faulty":
        raise RuntimeError("handler failed")
    return NewsReply(accepted=len(update.members))


@pytest.fixture
def server(key_ring: KeyRing) -> Iterator[ControlServer]:
    routes = ControlRoutes()
    routes.route(PATH, News)(handle_update)
    executor = ThreadPoolExecutor(4)
    server = ControlServer(
        endpoint=Endpoint("127.0.0.1", 0),
        routes=routes,
        key_ring=key_ring,
        executor=executor,
    )
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield server
    server.shutdown()
    server.close_connections()
    server.server_close()
    thread.join()
    executor.shutdown()


def client_of(server: ControlServer, key_ring: KeyRing) -> ControlClient:
    host, port = server.server_address[:2]
    endpoint = Endpoint(str(host), port)
    return ControlClient(endpoint=endpoint, key_ring=key_ring, timeout=2.0)


def error_of(server: ControlServer, body: bytes, signature: str, **more: str) -> str:
    response = server.handle_message(PATH, body, signature, **more)
    error = decode_message(response.body, ErrorReply)
    assert (
        response.status == ERROR_RESPONSES_BY_KIND[ErrorKind(error.error)].http_status
    )
    return error.error


def test_long_and_short_messages_over_one_connection(
    server: ControlServer, key_ring: KeyRing
) -> None:
    client = client_of(server, key_ring)
    members = tuple(make_member(f"a-{number}") for number in range(50))
    try:
        for batch in ((), members):
            reply = client.call(PATH, News(sender_id="b", members=batch), NewsReply)
            assert reply.accepted == len(batch)
        assert len(server._connections) == 1
    finally:
        client.close()


def test_a_handler_error_is_a_typed_reply_and_keeps_the_connection(
    server: ControlServer, key_ring: KeyRing
) -> None:
    client = client_of(server, key_ring)
    try:
        with pytest.raises(PeerUnreachableError, match="internal"):
            client.call(PATH, News(sender_id="faulty"), NewsReply)
        assert client.call(PATH, News(sender_id="b"), NewsReply).accepted == 0
    finally:
        client.close()


def test_both_keys_are_accepted_during_a_rotation(
    server: ControlServer, settings: Settings
) -> None:
    old = settings.keys.current
    new = Secret("another-key-of-sixteen")
    client = client_of(server, KeyRing(attrs.evolve(settings.keys, current=new)))
    with pytest.raises(PeerUnreachableError):
        client.call(PATH, News(sender_id="b"), NewsReply)
    client.close()

    rotated = KeyRing(attrs.evolve(settings.keys, current=new, previous=old))
    server._key_ring = rotated
    for keys in (settings.keys, attrs.evolve(settings.keys, current=new, previous=old)):
        signature = sign_message(KeyRing(keys), PATH, b'{"sender_id":"b"}')
        response = server.handle_message(PATH, b'{"sender_id":"b"}', signature)
        assert response.status == 200


def test_a_replayed_message_is_refused(
    server: ControlServer, key_ring: KeyRing, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Replayed heartbeats would keep a dead member in the views. They carry their
    # time and are refused as stale.
    body = encode_message(News(sender_id="b"))
    signature = sign_message(key_ring, PATH, body)
    assert server.handle_message(PATH, body, signature).status == 200

    sent_at = clocks.unix_milliseconds()
    later = sent_at + signatures.REPLAY_WINDOW_MILLISECONDS + 1000
    monkeypatch.setattr(clocks, "unix_milliseconds", lambda: later)

    assert error_of(server, body, signature) == ErrorKind.UNAUTHENTICATED


def test_a_compression_bomb_is_refused(
    server: ControlServer, key_ring: KeyRing
) -> None:
    # A few kilobytes that expand to a gigabyte would exhaust the process's memory.
    body = zlib.compress(b" " * (64 << 20))
    signature = sign_message(key_ring, PATH, body)

    error = error_of(server, body, signature, encoding="deflate")

    assert error == ErrorKind.BAD_MESSAGE


def test_enums_stay_typed() -> None:
    # States and roles decoded as plain strings are equal to the enum members but fail
    # comparisons with `is`, so agents that joined never received a service.
    update = News(sender_id="b", members=(make_member("a-1"),))

    member = decode_message(encode_message(update), News).members[0]

    assert type(member.state) is MemberState
    assert type(member.role) is Role


@given(data=st.binary(max_size=3000))
def test_compressed_bodies_are_restored(data: bytes) -> None:
    assert decompress_body(*compress_body(data)) == data


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 70), 1 << 70)
    | st.floats()
    | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["sender_id", "members", "member", "services", "known", "x"]
            )
            | st.text(max_size=4),
            children,
            max_size=6,
        )
    ),
    max_leaves=20,
)


@given(
    message_type=st.sampled_from(MESSAGE_TYPES),
    data=st.binary(max_size=200) | json_values.map(lambda value: _json(value)),
)
def test_any_bytes_are_a_message_or_a_typed_error(
    message_type: type, data: bytes
) -> None:
    try:
        message: object = decode_message(data, message_type)
    except BadMessageError:
        return
    # A decoded message is typed, so it can be encoded and decoded again.
    assert decode_message(encode_message(message), message_type) == message


@given(st.data())
def test_a_message_with_a_corrupted_field_is_a_message_or_a_typed_error(
    data: st.DataObject,
) -> None:
    news = News(sender_id="b", members=(make_member("a-1"), make_member("a-2")))
    tree = orjson.loads(encode_message(news))
    target = data.draw(st.sampled_from([tree, *tree["members"]]))
    key = data.draw(st.sampled_from(sorted(target)))
    target[key] = data.draw(json_values)
    try:
        message = decode_message(_json(tree), News)
    except BadMessageError:
        return
    assert decode_message(encode_message(message), News) == message


def _json(value: object) -> bytes:
    try:
        return orjson.dumps(value)
    except (TypeError, ValueError):
        return repr(value).encode()
