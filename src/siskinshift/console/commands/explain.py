"""Command `explain`: explains the outcome of a flow from log lines."""

from __future__ import annotations

import sys
from pathlib import Path

from siskinshift.console.registry import command


@command("explain")
def explain_flow(identity: str, *logs: str) -> str:
    """Prints the timeline of a flow across all processes, and the likely cause.

    The identity is the caller's address and port, or the whole flow as in the logs.

    Example: siskinshift explain 100.64.0.7:40001 balancer-1.log agent-3.log

    Args:
        identity: Identity of the flow, or its caller's endpoint.
        logs: Log files of the processes; standard input if none is given.
    """
    from siskinshift.observability.explanation import explain
    from siskinshift.observability.explanation import parse_lines
    from siskinshift.observability.explanation import render

    texts: list[str] = []
    for name in logs:
        texts += Path(name).read_text(encoding="utf-8", errors="replace").splitlines()
    if not logs:
        texts = sys.stdin.read().splitlines()
    return render(explain(parse_lines(texts), str(identity)))
