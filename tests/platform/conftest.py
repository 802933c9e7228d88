"""Fixtures with a stand-in of the platform's store on loopback."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import pytest

from siskinshift.connections.node_settings import StoreSettings
from siskinshift.messages.core import Endpoint
from siskinshift.observability.event_log import EventLog
from siskinshift.platform.store import PlatformStore
from siskinshift.runtime.life_cycle import LifeCycle
from siskinshift.standins.platform_store import PlatformStoreServer


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def log() -> EventLog:
    return EventLog(process="test", clock=time.monotonic, descriptor=os.dup(2))


@pytest.fixture
def life_cycle() -> Iterator[LifeCycle]:
    life_cycle = LifeCycle(name="test")
    yield life_cycle
    life_cycle.stop()


@pytest.fixture
def server(life_cycle: LifeCycle, log: EventLog) -> PlatformStoreServer:
    server = PlatformStoreServer(life_cycle, log=log)
    server.start()
    return server


@pytest.fixture
def store(life_cycle: LifeCycle, server: PlatformStoreServer) -> PlatformStore:
    settings = StoreSettings(
        endpoint=Endpoint("127.0.0.1", server.port),
        call_rate=1000.0,
        call_burst=1000,
        lease_minimum=0.1,
        recovery_window=4.0,
    )
    store = PlatformStore(settings, stopping=life_cycle.stopping)
    life_cycle.add_cleanup(store.close)
    return store
