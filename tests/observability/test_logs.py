"""Tests of the component logs."""

from __future__ import annotations

import io
import json
from typing import TYPE_CHECKING

import pytest

from siskinshift.observability.logs import ComponentLog
from siskinshift.observability.logs import configure_logs
from siskinshift.settings.generated import LogsSettings


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    yield stream
    configure_logs(LogsSettings(level="off"))


def test_a_line_is_json_with_the_component_as_prefix(
    stream: io.StringIO,
) -> None:
    configure_logs(LogsSettings(level="info"), stream)

    ComponentLog("agent").info("Flow refused.", kind="flow_limit")

    line = json.loads(stream.getvalue().splitlines()[-1])
    assert line["message"] == "agent: Flow refused."
    assert line["kind"] == "flow_limit"
    assert line["level"] == "info"


def test_messages_below_the_level_are_suppressed(stream: io.StringIO) -> None:
    configure_logs(LogsSettings(level="error"), stream)

    ComponentLog("agent").info("Flow opened.")

    assert stream.getvalue() == ""
