"""A balancer without the operators' API does not pay for its library."""

from __future__ import annotations

import os
import subprocess
import sys


PROGRAM = """
import sys
import siskinshift.balancer.application
import siskinshift.agent.application
sys.exit("grpc" in sys.modules)
"""


def test_the_library_is_imported_only_where_it_is_needed() -> None:
    finished = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        check=False,
    )

    assert finished.returncode == 0
