"""Fixtures shared by the tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import settings as hypothesis_settings

from siskinshift.core.keyring import KeyRing
from siskinshift.settings.loader import SettingsLoader


if TYPE_CHECKING:
    from siskinshift.settings.generated import Settings


# Deterministic: examples are derived from a fixed seed and none are stored.
hypothesis_settings.register_profile(
    "ci", derandomize=True, database=None, deadline=None, print_blob=True
)
hypothesis_settings.load_profile("ci")

SETTINGS_TEXT = """
[node]
node_id = node-1
control_endpoint = 127.0.0.1:0
data_endpoint = 127.0.0.1:0
[keys]
current = a-key-of-sixteen-or-more
"""


@pytest.fixture
def settings() -> Settings:
    return SettingsLoader(source="test").load(SETTINGS_TEXT)


@pytest.fixture
def key_ring(settings: Settings) -> KeyRing:
    return KeyRing(settings.keys)
