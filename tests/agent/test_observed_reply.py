"""Tests of replies that tell what became of their request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from siskinshift.agent.collected_reply import CollectedReply
from siskinshift.agent.observed_reply import ObservedReply
from siskinshift.core.errors import ErrorKind
from siskinshift.messages.core import OutcomeKind


if TYPE_CHECKING:
    from collections.abc import Callable


@pytest.mark.parametrize(
    ("act", "expected"),
    [
        (lambda reply: (reply.start(200, ()), reply.end()), [OutcomeKind.ANSWERED]),
        (lambda reply: (reply.start(200, ()), reply.abort()), [OutcomeKind.ANSWERED]),
        (lambda reply: reply.abort(), [OutcomeKind.UNKNOWN]),
        (
            lambda reply: reply.fail(ErrorKind.OVERLOADED, retry_after=1.0),
            [OutcomeKind.NOT_RUN],
        ),
        (
            lambda reply: reply.fail(ErrorKind.UPSTREAM_FAILED, retry_after=None),
            [OutcomeKind.UNKNOWN],
        ),
        (lambda reply: reply.fail(ErrorKind.CANCELLED, retry_after=None), []),
    ],
)
def test_an_outcome_is_reported_once(
    act: Callable[[ObservedReply], object], expected: list[OutcomeKind]
) -> None:
    reported: list[OutcomeKind] = []

    act(ObservedReply(CollectedReply(), reported.append))

    assert reported == expected
