"""Runs a node of a given role."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

from siskinshift.core.errors import ERROR_RESPONSES_BY_KIND
from siskinshift.exceptions import SiskinshiftError
from siskinshift.messages.core import Role
from siskinshift.platform.settings import load_node_settings
from siskinshift.platform.settings import settings_path


if TYPE_CHECKING:
    from siskinshift.connections.node import ConnectionNode
    from siskinshift.connections.node_settings import NodeSettings


USAGE_EXIT_CODE = 2


def run_node(arguments: list[str]) -> int:
    """Runs a node in the foreground until SIGTERM.

    Args:
        arguments: Command line arguments: the role.

    Returns:
        Exit status.
    """
    # Without a handler, SIGHUP ends the process. It is delivered once `run` handles it.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        role = Role(arguments[0] if arguments else "")
    except ValueError:
        print("usage: siskinshift.connections balancer|agent", file=sys.stderr)
        return USAGE_EXIT_CODE
    try:
        node = _make_node(role, load_node_settings(settings_path()))
    except SiskinshiftError as error:
        print(f"siskinshift: {error.code}: {error}", file=sys.stderr)
        return ERROR_RESPONSES_BY_KIND[error.kind].exit_code
    node.start()
    try:
        node.run()
    finally:
        node.stop()
    return 0


def _make_node(role: Role, settings: NodeSettings) -> ConnectionNode:
    # Each role imports only its own modules, since memory is scarce on the instances.
    if role is Role.BALANCER:
        from siskinshift.connections.balancer_node import BalancerNode

        return BalancerNode(settings)
    from siskinshift.connections.agent_node import AgentNode

    return AgentNode(settings)
