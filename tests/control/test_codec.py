"""Tests of the JSON encoding of messages."""

from __future__ import annotations

import pytest

from siskinshift.control.codec import decode_message
from siskinshift.control.codec import encode_message
from siskinshift.control.exceptions import BadMessageError
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role


MEMBER = Member(
    member_id="editor-1",
    role=Role.AGENT,
    incarnation=1,
    version=1,
    state=MemberState.JOINING,
    region="region-1",
    failure_domain="fd-1",
    control=Endpoint("127.0.0.1", 1),
    data=Endpoint("127.0.0.1", 2),
)


def test_states_are_decoded_as_enum_members() -> None:
    """Guards against agents that are missing from all views.

    The strict hook for str also decoded the enums that derive from str. A role
    decoded as a plain string fails `role is Role.AGENT`, so no agent became ready.
    """
    decoded = decode_message(encode_message(MEMBER), Member)

    assert decoded.role is Role.AGENT
    assert decoded.state is MemberState.JOINING


@pytest.mark.parametrize("share", [b'"1"', b"true", b"1.5", b"null", b"[1]"], ids=repr)
def test_a_value_of_another_json_type_is_rejected(share: bytes) -> None:
    with pytest.raises(BadMessageError):
        decode_message(b'{"group_id":"a","share":' + share + b"}", Group)


def test_an_unknown_state_is_rejected() -> None:
    data = encode_message(MEMBER).replace(b"joining", b"flying")

    with pytest.raises(BadMessageError):
        decode_message(data, Member)
