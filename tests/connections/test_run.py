"""Tests of the start of a node's process."""

from __future__ import annotations

import os
import subprocess
import sys

from siskinshift.connections.run import USAGE_EXIT_CODE


# Runs a node whose construction receives the signal, then ends the process itself.
SIGNALLED_WHILE_STARTING = """
import os, signal, sys
from siskinshift.connections import run

def make_node(role, settings):
    os.kill(os.getpid(), signal.SIGHUP)
    sys.exit(run.USAGE_EXIT_CODE)

run._make_node = make_node
run.load_node_settings = lambda path: None
run.settings_path = lambda: None
run.run_node(["agent"])
"""


def test_a_reload_signal_does_not_end_a_process_that_starts() -> None:
    """Guards against a process that SIGHUP ends before its handler is installed."""
    result = subprocess.run(
        [sys.executable, "-c", SIGNALLED_WHILE_STARTING],
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        check=False,
    )

    assert result.returncode == USAGE_EXIT_CODE
