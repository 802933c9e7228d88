"""Runs a node of connection flows on the platform: `balancer` or `agent`."""

from __future__ import annotations

import signal


# Before any other import: the signal to read settings again would end a process that
# has no handler yet, and it may come at any moment.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402

from siskinshift.platform.early_settings import packet_addresses  # noqa: E402
from siskinshift.runtime.datagram_sockets import bind_early  # noqa: E402


# Before the rest is loaded, so that packets wait for the node instead of being lost.
bind_early(packet_addresses())

from siskinshift.connections.run import run_node  # noqa: E402


sys.exit(run_node(sys.argv[1:]))
