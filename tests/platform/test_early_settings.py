"""Tests of the addresses that are read before the rest of the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from siskinshift.platform.early_settings import PATH_VARIABLE
from siskinshift.platform.early_settings import packet_addresses


if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (
            '[listen]\ndatagram-addr = "10.1.0.10:8172"\n',
            [("10.1.0.10", 8172)],
        ),
        (
            '[listen]\ndatagram-addr = "10.1.0.12:8172"\noutbound = "10.1.0.12:8162"\n',
            [("10.1.0.12", 8162)],
        ),
        ("= nonsense", []),
        ('listen = "nothing"\n', []),
        ('[listen]\ndatagram-addr = "10.1.0.10"\n', []),
        ("[listen]\ndatagram-addr = 8172\n", []),
    ],
)
def test_the_address_for_packets_is_found_or_nothing(
    text: str,
    expected: list[tuple[str, int]],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(text)
    monkeypatch.setenv(PATH_VARIABLE, str(path))

    assert packet_addresses() == expected


def test_a_missing_file_is_left_to_the_full_reading(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(PATH_VARIABLE, str(tmp_path / "none.toml"))
    assert packet_addresses() == []
    monkeypatch.delenv(PATH_VARIABLE)
    assert packet_addresses() == []
