"""Tests of the commands as separate processes under traffic and SIGTERM."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from siskinshift.configuration.store import ConfigurationStore
from siskinshift.core.endpoints import format_endpoint
from siskinshift.demo.certificates import write_certificate
from siskinshift.demo.deployment import free_datagram_endpoint
from siskinshift.demo.deployment import free_endpoint
from siskinshift.demo.http3_client import Http3Client
from siskinshift.kv.etcd import EtcdStore
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.settings.loader import SettingsLoader


if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


# A client retransmits its first packet with exponential backoff. On a busy machine
# processes may still be starting at its second to last attempt.
WAIT_SECONDS = 90.0


class Processes:
    """Starts commands and kills those that are still running."""

    def __init__(self) -> None:
        self._started: list[subprocess.Popen[bytes]] = []

    def start(self, *arguments: object) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", "siskinshift", *map(str, arguments)]
        process = subprocess.Popen(
            command,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            stderr=subprocess.DEVNULL,
        )
        self._started.append(process)
        return process

    def stop(self) -> None:
        for process in self._started:
            process.kill()
            process.wait()


@pytest.fixture
def processes() -> Iterator[Processes]:
    processes = Processes()
    yield processes
    processes.stop()


def test_sigterm_breaks_no_request_in_progress(
    processes: Processes, tmp_path: Path
) -> None:
    """Guards against a request that is broken by a restart of its agent.

    The agent receives SIGTERM while a request runs. The caller still gets the complete
    response, and only then the agent exits with status 0.
    """
    kv, upstream, seed = free_endpoint(), free_endpoint(), free_endpoint()
    address = free_datagram_endpoint()
    fabric_return = free_datagram_endpoint()
    certificate, key = write_certificate(tmp_path)
    common: dict[str, dict[str, object]] = {
        "keys": {"current": "a-key-of-sixteen-or-more"},
        "kv": {"endpoints": format_endpoint(kv)},
        "membership": {"seeds": format_endpoint(seed)},
        "flows": {"ramp_duration": 0},
    }
    agent_options: dict[str, object] = {
        "upstream_class": "editor",
        "slots": 2,
        "upstream_endpoint": format_endpoint(upstream),
        "fabric_return": format_endpoint(fabric_return),
        "certificate_file": certificate,
        "private_key_file": key,
    }
    balancer_node = _node("balancer-1", format_endpoint(seed))
    agent_node = _node("agent-1", format_endpoint(free_endpoint()))
    balancer_file = _write(tmp_path / "b.ini", common | {"node": balancer_node})
    agent_file = _write(
        tmp_path / "a.ini", common | {"node": agent_node, "agent": agent_options}
    )
    processes.start("standin", "kv", format_endpoint(kv))
    processes.start("standin", "upstream", "editor-1", format_endpoint(upstream), 2)
    processes.start(
        "standin",
        "fabric",
        format_endpoint(address),
        format_endpoint(fabric_return),
        balancer_node["data_endpoint"],
    )
    _configure(
        balancer_file, Service("editor", (address,), ServiceMode.REQUEST, "editor")
    )
    balancer = processes.start("balancer", balancer_file)
    agent = processes.start("agent", agent_file)

    with ThreadPoolExecutor(2) as executor:
        client = Http3Client(address, executor=executor)
        assert client.request("POST", "/work").result(WAIT_SECONDS).status == 200
        long_request = client.request("POST", "/work?ms=3000", body=b"section 4")
        # Uses the second slot; its response shows that the long request was accepted.
        client.request("GET", "/health").result(WAIT_SECONDS)
        assert not long_request.done()
        agent.send_signal(signal.SIGTERM)

        assert long_request.result(WAIT_SECONDS).status == 200
        assert b"section 4" in long_request.result().body
        assert agent.wait(WAIT_SECONDS) == 0
        client.close()
    balancer.send_signal(signal.SIGTERM)
    balancer.send_signal(signal.SIGTERM)
    assert balancer.wait(WAIT_SECONDS) == 0


def _node(node_id: str, control: str) -> dict[str, object]:
    return {
        "node_id": node_id,
        "control_endpoint": control,
        "data_endpoint": format_endpoint(free_datagram_endpoint()),
    }


def _write(path: Path, sections: dict[str, dict[str, object]]) -> Path:
    lines = []
    for name, options in sections.items():
        lines += [f"[{name}]", *(f"{key} = {value}" for key, value in options.items())]
    path.write_text("\n".join(lines))
    return path


def _configure(settings_file: Path, service: Service) -> None:
    settings = SettingsLoader(source="test").load(settings_file.read_text())
    store = ConfigurationStore(EtcdStore(settings.kv))
    for _ in range(int(WAIT_SECONDS)):
        try:
            assert store.write(service)
        except StoreUnavailableError:
            time.sleep(0.5)
            continue
        return
    raise AssertionError("the store did not become available")
