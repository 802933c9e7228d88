"""Tests of the command line in a separate process."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from tests.conftest import SETTINGS_TEXT


SOURCE_FOLDER = Path(__file__).parent.parent.parent / "src"


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "siskinshift", *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        env=os.environ | {"PYTHONPATH": str(SOURCE_FOLDER)},
    )


def test_check_accepts_a_valid_file(tmp_path: Path) -> None:
    path = tmp_path / "good.ini"
    path.write_text(SETTINGS_TEXT)

    result = _run("check", str(path))

    assert result.returncode == 0
    assert "node_id = node-1" in result.stdout


def test_an_invalid_file_is_reported_with_exit_status_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.ini"
    path.write_text(SETTINGS_TEXT + "[flows]\nmax_hops = 99\n")

    result = _run("check", str(path))

    assert result.returncode == 2
    assert "[flows] max_hops = '99': allowed: 1 to 16" in result.stderr
    assert "Traceback" not in result.stderr


def test_a_missing_file_is_reported(tmp_path: Path) -> None:
    result = _run("balancer", str(tmp_path / "none.ini"))

    assert result.returncode == 2
    assert "none.ini" in result.stderr
    assert "Traceback" not in result.stderr


def test_help_lists_the_commands() -> None:
    result = _run("--help")

    assert result.returncode == 0
    for name in ("agent", "balancer", "check", "demo", "report", "standin"):
        assert name in result.stdout + result.stderr
