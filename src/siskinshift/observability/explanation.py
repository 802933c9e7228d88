"""Explains the outcome of one flow from the log lines of several processes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

import orjson
from attrs import frozen


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


Fields: TypeAlias = dict[str, object]

# Other events of the same processes are included if they are this close to the flow's.
CONTEXT_SECONDS = 3.0
# Frequent at each start, and never the cause of a flow's outcome.
_OMITTED_EVENTS = frozenset({"peer found", "registered"})
# A caller notices a wait of this length for a slot of the upstream.
NOTICEABLE_WAIT_SECONDS = 0.05
_HEADER_FIELDS = frozenset({"t", "at", "process", "event", "flow", "dropped_lines"})

# A balancer that is this far behind another one is reported. All balancers read a
# change within this time, except over the slowest links.
CONFIGURATION_LAG_SECONDS = 3.0
_CONFIGURATION_IN_FORCE = "configuration in force"
_CONFIGURATION_FAILURES = frozenset(
    {"configuration lost", "configuration fetch failed"}
)

# Effect of a decision on the caller. The latest decision of a flow that is in this
# table is reported as the likely cause.
_CAUSES_BY_EVENT_AND_REASON = {
    ("reset", "no route"): (
        "refused: the configuration in force there has no route for the address"
    ),
    ("reset", "no upstream holds the flow"): (
        "its upstream is gone: all agents queried their upstreams, none holds the flow"
    ),
    ("reset", "upstream lost the flow"): (
        "its upstream no longer holds the flow: it restarted or closed it"
    ),
    ("reset", "no agent takes it"): (
        "refused under load or without agents: each agent refused, none was ready, or"
        " their failure domains are evacuated"
    ),
    ("reset", "all agents are full"): (
        "refused under load: no attempted agent could answer before the deadline"
    ),
    ("not tried again", "retry budget"): (
        "an agent did not answer, and the balancer was too loaded to ask another one"
    ),
    ("not searched", "link budget"): (
        "the balancer had no owner for the flow, and searches had used up their link"
        " budget"
    ),
    ("not searched", "agents silent"): (
        "the balancer had no owner for the flow, and agents that may own it were"
        " unresponsive, or the link had no room for a packet to each of them"
    ),
    ("refused", "full"): "refused under load: the upstream accepts no more flows",
    ("refused", "overloaded"): (
        "refused under load: its request would have waited too long at the upstream"
    ),
    ("refused", "connection limit"): (
        "refused: the upstream has as many open flows as max-conns allows"
    ),
    ("refused", "unavailable"): (
        "the upstream leaves or is unresponsive, its agent ends, or its failure domain"
        " is evacuated"
    ),
    ("refused", "wrong_service"): (
        "the balancer maps this address to a service that the agent does not serve"
    ),
}


@frozen
class LogLine:
    """A parsed log line.

    Attributes:
        at: Wall-clock time in seconds.
        monotonic_time: Monotonic clock reading of the process in seconds.
        process: Name of the process.
        event: Name of the event.
        fields: All other fields.
    """

    at: float
    monotonic_time: float
    process: str
    event: str
    fields: Fields


@frozen
class Explanation:
    """Outcome of a flow.

    Attributes:
        lines: Lines of the flow and their context, in order of time.
        cause: The likely cause.
        missing: Note on lines that were dropped; empty if none are known to be.
    """

    lines: tuple[LogLine, ...]
    cause: str
    missing: str


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parses log lines.

    Text in front of the JSON object is ignored, and so are lines without an event.

    Args:
        texts: Lines of any processes, in any order.

    Returns:
        The parsed lines.
    """
    lines = []
    for text in texts:
        start = text.find('{"t"')
        if start < 0:
            continue
        try:
            fields = orjson.loads(text[start:])
            line = LogLine(
                at=float(fields["at"]),
                monotonic_time=float(fields["t"]),
                process=str(fields["process"]),
                event=str(fields["event"]),
                fields={k: v for k, v in fields.items() if k not in _HEADER_FIELDS}
                | {k: fields[k] for k in ("flow", "dropped_lines") if k in fields},
            )
        except (KeyError, TypeError, ValueError):
            # The line was truncated by a kill, or another program wrote it.
            continue
        lines.append(line)
    return lines


def explain(lines: Sequence[LogLine], identity: str) -> Explanation:
    """Explains the outcome of a flow.

    Args:
        lines: Lines of all processes.
        identity: Identity of the flow, or its caller's endpoint.

    Returns:
        The timeline of the flow with the likely cause.
    """
    flow_lines = [
        line for line in lines if str(line.fields.get("flow", "")).startswith(identity)
    ]
    if not flow_lines:
        dropped = sum(_dropped_count(line) for line in lines)
        return Explanation(
            (), "unknown: no line names the flow", _describe_dropped(dropped)
        )
    start = min(line.at for line in flow_lines) - CONTEXT_SECONDS
    end = max(line.at for line in flow_lines) + CONTEXT_SECONDS
    processes = {line.process for line in flow_lines}
    processes |= {str(line.fields.get("agent", "")) for line in flow_lines}
    context_lines = [
        line
        for line in lines
        if "flow" not in line.fields
        and line.event not in _OMITTED_EVENTS
        and line.process in processes
        and start <= line.at <= end
    ]
    timeline = sorted(
        [*flow_lines, *context_lines], key=lambda line: (line.at, line.monotonic_time)
    )
    dropped = sum(_dropped_count(line) for line in timeline)
    cause = _find_stale_configuration(lines, flow_lines) or _find_cause(flow_lines)
    return Explanation(tuple(timeline), cause, _describe_dropped(dropped))


def _find_stale_configuration(
    lines: Sequence[LogLine], flow_lines: Sequence[LogLine]
) -> str:
    """Checks whether the flow's first process had an outdated configuration.

    Args:
        lines: Lines of all processes.
        flow_lines: Lines of the flow.

    Returns:
        The cause, or an empty string if its configuration was current.
    """
    first = min(flow_lines, key=lambda line: line.at)
    earlier_lines = [line for line in lines if line.at <= first.at]
    configuration_lines = [
        line for line in earlier_lines if line.event == _CONFIGURATION_IN_FORCE
    ]
    local_lines = [
        line for line in configuration_lines if line.process == first.process
    ]
    if not local_lines:
        return ""
    version = max(_to_number(line.fields.get("version")) for line in local_lines)
    newer_lines = [
        line
        for line in configuration_lines
        if _to_number(line.fields.get("version")) > version
        and first.at - line.at >= CONFIGURATION_LAG_SECONDS
    ]
    if not newer_lines:
        return ""
    newest = max(newer_lines, key=lambda line: _to_number(line.fields.get("version")))
    cause = (
        f"handled by version {version:g} of the configuration, while "
        f"{newest.fields.get('version')} was in force elsewhere "
        f"{first.at - newest.at:.1f} s before ({first.process})"
    )
    failures = [
        line
        for line in earlier_lines
        if line.process == first.process and line.event in _CONFIGURATION_FAILURES
    ]
    if not failures:
        return cause
    last = max(failures, key=lambda line: line.at)
    return f"{cause}; {last.event}: {last.fields.get('error')}"


def _find_cause(flow_lines: Sequence[LogLine]) -> str:
    latest_first = sorted(
        flow_lines, key=lambda line: (line.at, line.monotonic_time), reverse=True
    )
    for line in latest_first:
        reason = str(line.fields.get("reason", ""))
        cause = _CAUSES_BY_EVENT_AND_REASON.get((line.event, reason))
        if cause:
            return f"{cause} ({line.process})"
    waits = [_to_number(line.fields.get("waited")) for line in flow_lines]
    if waits and max(waits) > NOTICEABLE_WAIT_SECONDS:
        return f"slow under load: waited {max(waits)} s for a slot of its upstream"
    open_lines = [line for line in flow_lines if line.event == "open"]
    if len(open_lines) > 1:
        agent = open_lines[0].fields.get("agent", "")
        return f"slow to open: the first agent, {agent}, refused or did not answer"
    verdicts = {line.fields.get("verdict") for line in flow_lines}
    if open_lines and "accepted" not in verdicts:
        return "no reply from an agent: the agent or the path to it was down"
    return "the system refused nothing: check the upstream and the events around"


def _to_number(value: object) -> float:
    return float(value) if isinstance(value, (int, float)) else 0.0


def _dropped_count(line: LogLine) -> int:
    dropped = line.fields.get("dropped_lines", 0)
    return dropped if isinstance(dropped, int) else 0


def _describe_dropped(dropped: int) -> str:
    if not dropped:
        return ""
    return f"{dropped} lines were dropped, so some decisions are not shown"


def render(explanation: Explanation) -> str:
    """Renders an explanation as text for an operator.

    Args:
        explanation: The explanation.

    Returns:
        One line per event with its time since the first one, then the cause.
    """
    rendered_lines = []
    for line in explanation.lines:
        offset = line.at - explanation.lines[0].at
        details = " ".join(f"{k}={v}" for k, v in line.fields.items())
        rendered_lines.append(
            f"{offset:+9.3f} s  {line.process:<24} {line.event}: {details}"
        )
    rendered_lines.append(f"likely cause: {explanation.cause}")
    if explanation.missing:
        rendered_lines.append(f"missing: {explanation.missing}")
    return "\n".join(rendered_lines)
