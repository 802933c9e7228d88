"""Runs a node of connection flows on the platform: `balancer` or `agent`."""

from __future__ import annotations

import signal


# Before any other import: the signal to read settings again would end a process that
# has no handler yet, and it may come at any moment.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402

from siskinshift.connections.run import run_node  # noqa: E402


sys.exit(run_node(sys.argv[1:]))
