"""Tests of loading and printing settings files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinshift.settings.exceptions import SettingsError
from siskinshift.settings.generated import SECTIONS
from siskinshift.settings.loader import SettingsLoader
from siskinshift.settings.printer import format_settings
from tests.conftest import SETTINGS_TEXT


if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

    from siskinshift.settings.generated import Settings


INVALID_TEXT = """
[node]
node_id = a
control_endpoint = nowhere
data_endpoint = 127.0.0.1:70000
[keys]
current = short
[membership]
heartbeat_intervall = 1
gone_after = never
[flows]
max_hops = 99
[log]
level = info
[metrics]
exporter = carrier-pigeon
"""


def test_each_fault_names_file_section_key_value_and_what_is_allowed(
    snapshot: SnapshotAssertion,
) -> None:
    with pytest.raises(SettingsError) as caught:
        SettingsLoader(source="bad.ini").load(INVALID_TEXT)

    assert list(caught.value.problems) == snapshot


def test_a_rejected_secret_is_not_shown() -> None:
    with pytest.raises(SettingsError) as caught:
        SettingsLoader(source="bad.ini").load(INVALID_TEXT)

    assert "short" not in str(caught.value)


def test_printed_settings_can_be_loaded_except_for_secrets(
    settings: Settings,
) -> None:
    printed = format_settings(settings, output="text")

    assert "a-key-of-sixteen-or-more" not in printed
    text = printed.replace("(secret)", "a-key-of-sixteen-or-more")
    assert SettingsLoader(source="again").load(text) == settings


names = st.sampled_from(
    [section.name for section in SECTIONS]
    + [option.name for section in SECTIONS for option in section.options]
)
lines = st.one_of(
    st.builds("[{}]".format, names | st.text(max_size=5)),
    st.builds("{} = {}".format, names | st.text(max_size=5), st.text(max_size=12)),
    st.text(max_size=20),
)


@given(text_lines=st.lists(lines, max_size=12))
def test_any_file_is_read_or_refused_with_a_typed_error(text_lines: list[str]) -> None:
    problems: tuple[str, ...] = ("accepted",)
    try:
        SettingsLoader(source="fuzz").load(SETTINGS_TEXT + "\n".join(text_lines))
    except SettingsError as error:
        problems = error.problems

    assert problems
