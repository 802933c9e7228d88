"""Processes that do not serve the operators' API must not import the gRPC library."""

from __future__ import annotations

import os
import subprocess
import sys


IMPORT_CHECK = """
import sys
import siskinshift.balancer.application
import siskinshift.agent.application
sys.exit("grpc" in sys.modules)
"""


def test_grpc_is_not_imported_without_the_operators_api() -> None:
    completed = subprocess.run(
        [sys.executable, "-c", IMPORT_CHECK],
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        check=False,
    )

    assert completed.returncode == 0
