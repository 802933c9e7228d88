"""Tests of running an application in the foreground, each in a separate process."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest


SOURCE_FOLDER = Path(__file__).parent.parent.parent / "src"
PROGRAM = """
import os, signal, sys, threading
from siskinshift.console.processes import run_until_signal

class Application:
    def start(self):
        threading.Thread(target={at_start}).start()
        {in_start}
    def leave(self, stop_now):
        {in_leave}
        print("left")
    def stop(self):
        print("stopped")

def signal_soon():
    os.kill(os.getpid(), signal.SIGTERM)

run_until_signal(Application())
"""
NOTHING = "pass"
SIGNAL = "os.kill(os.getpid(), signal.SIGTERM)"


def _run(
    *, at_start: str = "int", in_start: str = NOTHING, in_leave: str = NOTHING
) -> str:
    program = PROGRAM.format(at_start=at_start, in_start=in_start, in_leave=in_leave)
    return subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
        env=os.environ | {"PYTHONPATH": str(SOURCE_FOLDER)},
    ).stdout


@pytest.mark.parametrize("attempt", range(5))
def test_a_signal_right_after_the_start_ends_the_process(attempt: int) -> None:
    """A process that received SIGTERM right after its start could deadlock.

    The main thread acquired the event's lock on entering its wait; the signal handler
    ran on the same thread and waited for that lock to set the event.
    """
    assert _run(at_start="signal_soon") == "left\nstopped\n"


def test_a_signal_during_the_start_is_not_lost() -> None:
    assert _run(in_start=SIGNAL) == "left\nstopped\n"


def test_a_second_signal_ends_the_leave_early() -> None:
    wait_for_stop = f"{SIGNAL}; stop_now.wait()"

    assert _run(in_start=SIGNAL, in_leave=wait_for_stop) == "left\nstopped\n"
