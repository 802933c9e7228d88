"""Runs dist/siskinshift as an operator would, without Python in reach."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import time
from pathlib import Path

import pytest


BINARY = Path(__file__).parent.parent / "dist" / "siskinshift"
# Nothing of the build machine is in reach: no search path, no Python settings.
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


def test_check_prints_the_settings_in_force(settings_path: Path) -> None:
    done = _run("check", str(settings_path), "--output", "json")

    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout)["node"]["node_id"] == "node-1"


def test_a_bad_file_gives_exit_status_2(tmp_path: Path) -> None:
    done = _run("check", str(tmp_path / "none.ini"))

    assert done.returncode == 2
    assert "Traceback" not in done.stderr


def test_a_balancer_runs_as_one_process_and_ends_on_sigterm(
    settings_path: Path,
) -> None:
    process = subprocess.Popen(
        [str(BINARY), "balancer", str(settings_path)], env=ENVIRONMENT, cwd="/"
    )
    port = _control_port(settings_path)
    until = time.monotonic() + WAIT_SECONDS
    while not _listens(port) and time.monotonic() < until:
        time.sleep(0.05)
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text()
    mapped = Path(f"/proc/{process.pid}/maps").read_text()

    process.send_signal(signal.SIGTERM)

    assert process.wait(timeout=WAIT_SECONDS) == 0
    assert children == ""
    assert "/tmp/" not in mapped
    assert "site-packages" not in mapped


def test_a_peer_that_goes_away_does_not_end_the_process(settings_path: Path) -> None:
    """A balancer of the binary ended without a word when a peer closed a connection.

    Order: a peer's connection breaks; the balancer answers on it; the system sends
    SIGPIPE. Cause: an isolated interpreter leaves that signal at its default.
    """
    process = subprocess.Popen(
        [str(BINARY), "balancer", str(settings_path)], env=ENVIRONMENT, cwd="/"
    )
    port = _control_port(settings_path)
    until = time.monotonic() + WAIT_SECONDS
    while not _listens(port) and time.monotonic() < until:
        time.sleep(0.05)
    ignored = _ignored_signals(process.pid)
    process.send_signal(signal.SIGTERM)

    assert process.wait(timeout=WAIT_SECONDS) == 0
    assert signal.SIGPIPE in ignored


def _ignored_signals(pid: int) -> set[int]:
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(one for one in status.splitlines() if one.startswith("SigIgn:"))
    mask = int(line.split()[1], 16)
    return {number for number in range(1, 65) if mask >> (number - 1) & 1}


def test_the_demo_keeps_its_promises() -> None:
    done = _run("demo")

    assert done.returncode == 0, done.stdout[-2000:] + done.stderr[-2000:]
    assert json.loads(done.stdout.splitlines()[-1])["packets_misdelivered"] == 0


def _control_port(settings_path: Path) -> int:
    lines = settings_path.read_text().splitlines()
    line = next(one for one in lines if one.startswith("control_endpoint"))
    return int(line.rpartition(":")[2])


def _listens(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0
