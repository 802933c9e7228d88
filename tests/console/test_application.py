"""Tests of the command line as its users see it."""

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


def test_check_accepts_a_good_file(tmp_path: Path) -> None:
    path = tmp_path / "good.ini"
    path.write_text(SETTINGS_TEXT)

    done = _run("check", str(path))

    assert done.returncode == 0
    assert "node_id = node-1" in done.stdout


def test_a_bad_file_gives_short_lines_and_exit_status_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.ini"
    path.write_text(SETTINGS_TEXT + "[flows]\nmax_hops = 99\n")

    done = _run("check", str(path))

    assert done.returncode == 2
    assert "[flows] max_hops = '99': allowed: 1 to 16" in done.stderr
    assert "Traceback" not in done.stderr


def test_a_file_that_is_not_there_is_named(tmp_path: Path) -> None:
    done = _run("balancer", str(tmp_path / "none.ini"))

    assert done.returncode == 2
    assert "none.ini" in done.stderr
    assert "Traceback" not in done.stderr


def test_help_names_the_commands() -> None:
    done = _run("--help")

    assert done.returncode == 0
    for name in ("agent", "balancer", "check", "demo", "report", "standin"):
        assert name in done.stdout + done.stderr
