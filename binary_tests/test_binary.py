"""Tests of dist/siskinshift in an environment without Python."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import time
from pathlib import Path

import pytest


BINARY = Path(__file__).parent.parent / "dist" / "siskinshift"
# Hides the build machine: no search path for programs, no Python settings.
ENVIRONMENT = {"PATH": "/nonexistent"}
WAIT_SECONDS = 20.0


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@pytest.fixture
def settings_path(tmp_path: Path) -> Path:
    path = tmp_path / "node.ini"
    path.write_text(
        "[node]\nnode_id = node-1\n"
        f"control_endpoint = 127.0.0.1:{_free_port()}\n"
        f"data_endpoint = 127.0.0.1:{_free_port()}\n"
        "[keys]\ncurrent = a-key-of-sixteen-or-more\n"
        "[metrics]\nexporter = prometheus\n"
        f"prometheus_endpoint = 127.0.0.1:{_free_port()}\n"
    )
    return path


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [str(BINARY), *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
        env=ENVIRONMENT,
        cwd="/",
    )


def test_check_prints_the_effective_settings(settings_path: Path) -> None:
    result = _run("check", str(settings_path), "--output", "json")

    assert result.returncode == 0, result.stderr
    assert json.loads(result.stdout)["node"]["node_id"] == "node-1"


def test_a_missing_settings_file_exits_with_status_2(tmp_path: Path) -> None:
    result = _run("check", str(tmp_path / "none.ini"))

    assert result.returncode == 2
    assert "Traceback" not in result.stderr


def test_a_balancer_runs_as_one_process_and_exits_on_sigterm(
    settings_path: Path,
) -> None:
    process = subprocess.Popen(
        [str(BINARY), "balancer", str(settings_path)], env=ENVIRONMENT, cwd="/"
    )
    port = _control_port(settings_path)
    deadline = time.monotonic() + WAIT_SECONDS
    while not _is_listening(port) and time.monotonic() < deadline:
        time.sleep(0.05)
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text()
    memory_maps = Path(f"/proc/{process.pid}/maps").read_text()

    process.send_signal(signal.SIGTERM)

    assert process.wait(timeout=WAIT_SECONDS) == 0
    assert children == ""
    assert "/tmp/" not in memory_maps
    assert "site-packages" not in memory_maps


def test_a_closed_connection_does_not_end_the_process(settings_path: Path) -> None:
    """Guards against a binary that exits silently when a peer closes a connection.

    A write to the closed connection raises SIGPIPE. An isolated interpreter leaves that
    signal at its default action, which ends the process.
    """
    process = subprocess.Popen(
        [str(BINARY), "balancer", str(settings_path)], env=ENVIRONMENT, cwd="/"
    )
    port = _control_port(settings_path)
    deadline = time.monotonic() + WAIT_SECONDS
    while not _is_listening(port) and time.monotonic() < deadline:
        time.sleep(0.05)
    ignored_signals = _ignored_signals(process.pid)
    process.send_signal(signal.SIGTERM)

    assert process.wait(timeout=WAIT_SECONDS) == 0
    assert signal.SIGPIPE in ignored_signals


def _ignored_signals(pid: int) -> set[int]:
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("SigIgn:"))
    mask = int(line.split()[1], 16)
    return {number for number in range(1, 65) if mask >> (number - 1) & 1}


def test_the_demo_misdelivers_no_packets() -> None:
    result = _run("demo")

    assert result.returncode == 0, result.stdout[-2000:] + result.stderr[-2000:]
    assert json.loads(result.stdout.splitlines()[-1])["packets_misdelivered"] == 0


def _control_port(settings_path: Path) -> int:
    lines = settings_path.read_text().splitlines()
    line = next(x for x in lines if x.startswith("control_endpoint"))
    return int(line.rpartition(":")[2])


def _is_listening(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0
