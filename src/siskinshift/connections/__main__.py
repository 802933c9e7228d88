"""Runs a node of connection flows on the platform: `balancer` or `agent`."""

from __future__ import annotations

import signal


# Before any other import: SIGHUP, which reloads the settings, may arrive at any time
# and would end a process that has no handler for it yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402

from siskinshift.connections.run import run_node  # noqa: E402


sys.exit(run_node(sys.argv[1:]))
