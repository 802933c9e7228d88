"""Tests of response writers that report the outcome of their request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from siskinshift.agent.buffered_response import BufferedResponse
from siskinshift.agent.observed_response import ObservedResponse
from siskinshift.core.errors import ErrorKind
from siskinshift.messages.core import OutcomeKind


if TYPE_CHECKING:
    from collections.abc import Callable


@pytest.mark.parametrize(
    ("act", "expected"),
    [
        (lambda writer: (writer.start(200, ()), writer.end()), [OutcomeKind.ANSWERED]),
        (
            lambda writer: (writer.start(200, ()), writer.abort()),
            [OutcomeKind.ANSWERED],
        ),
        (lambda writer: writer.abort(), [OutcomeKind.UNKNOWN]),
        (
            lambda writer: writer.fail(ErrorKind.OVERLOADED, retry_after=1.0),
            [OutcomeKind.NOT_RUN],
        ),
        (
            lambda writer: writer.fail(ErrorKind.UPSTREAM_FAILED, retry_after=None),
            [OutcomeKind.UNKNOWN],
        ),
        (lambda writer: writer.fail(ErrorKind.CANCELLED, retry_after=None), []),
    ],
)
def test_an_outcome_is_reported_once(
    act: Callable[[ObservedResponse], object], expected: list[OutcomeKind]
) -> None:
    reported: list[OutcomeKind] = []

    act(ObservedResponse(BufferedResponse(), reported.append))

    assert reported == expected
