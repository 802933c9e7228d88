"""A key-value store in memory and a clock that tests control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from siskinshift.kv.etcd import EtcdStore
from siskinshift.kv.guard import CallClass
from siskinshift.settings.loader import SettingsLoader
from siskinshift.standins.kv_direct import DirectTransport
from tests.conftest import SETTINGS_TEXT


if TYPE_CHECKING:
    from siskinshift.settings.generated import Settings
    from siskinshift.standins.kv_state import KvState


@define
class FakeClock:
    """A clock that advances only when a test sets it."""

    now: float = 1000.0

    def __call__(self) -> float:
        return self.now


def make_settings(extra: str = "") -> Settings:
    return SettingsLoader(source="test").load(SETTINGS_TEXT + extra)


def make_store(state: KvState, clock: FakeClock, extra: str = "") -> EtcdStore:
    """Creates a store; its default rate limit is too high for a test to reach."""
    text = extra or "[kv]\ncall_rate = 1000\ncall_burst = 1000\n"
    return EtcdStore(
        make_settings(text).kv,
        call_class=CallClass.OPERATOR,
        transport=DirectTransport(state),
        clock=clock,
    )
