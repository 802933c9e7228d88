"""From the lines of several processes to what became of one flow, and why."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

import orjson
from attrs import frozen


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


Fields: TypeAlias = dict[str, object]

# Events of the processes involved that lie this near to the flow's are shown as well.
CONTEXT_SECONDS = 3.0
# Many at each start, and no cause of anything.
_NOISE = frozenset({"peer found", "registered"})
# A wait beside the upstream that a caller notices.
WAIT_SECONDS = 0.05
_STAMP_FIELDS = frozenset({"t", "at", "process", "event", "flow", "dropped_lines"})

# A balancer this far behind another one is worth a word: all read a change within it,
# but on the thinnest links.
BEHIND_SECONDS = 3.0
_IN_FORCE = "configuration in force"
_CONFIGURATION_TROUBLES = frozenset(
    {"configuration lost", "configuration fetch failed"}
)

# What a decision means for the caller; the last one that decided is the likely cause.
_CAUSES = {
    ("reset", "no route"): (
        "refused: the configuration in force there has no route for the address"
    ),
    ("reset", "no upstream holds the flow"): (
        "its upstream is gone: all agents had their upstreams asked, none holds it"
    ),
    ("reset", "upstream lost the flow"): (
        "its upstream no longer holds the flow: it restarted or closed it"
    ),
    ("reset", "no agent takes it"): (
        "refused under load or without agents: each agent refused, none was ready, or"
        " their failure domains are evacuated"
    ),
    ("not tried again", "retry budget"): (
        "an agent did not answer, and the balancer was too loaded to ask another one"
    ),
    ("not searched", "link budget"): (
        "the balancer did not know its owner, and searches had used up their link"
    ),
    ("not searched", "agents silent"): (
        "the balancer did not know its owner, and agents that may be it were silent,"
        " or the link had no room for a packet to each of them"
    ),
    ("refused", "full"): "refused under load: the upstream takes no more flows",
    ("refused", "unavailable"): (
        "the upstream leaves or is silent, its agent ends, or its failure domain is"
        " evacuated"
    ),
    ("refused", "wrong_service"): "the balancer meant another service at this address",
}


@frozen
class LogLine:
    """A line of a process.

    Attributes:
        at: Time of day, seconds.
        steady: Steady clock of the process, seconds.
        process: The process.
        event: What happened.
        fields: The rest.
    """

    at: float
    steady: float
    process: str
    event: str
    fields: Fields


@frozen
class Explanation:
    """What became of a flow.

    Attributes:
        lines: The flow's lines and those around them, in order.
        cause: The likely cause.
        missing: What the lines can't tell; empty if nothing is known to be missing.
    """

    lines: tuple[LogLine, ...]
    cause: str
    missing: str


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Reads lines; those that are no event, or have text in front, are handled.

    Args:
        texts: Lines of any processes, in any order.

    Returns:
        The events.
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
                steady=float(fields["t"]),
                process=str(fields["process"]),
                event=str(fields["event"]),
                fields={k: v for k, v in fields.items() if k not in _STAMP_FIELDS}
                | {k: fields[k] for k in ("flow", "dropped_lines") if k in fields},
            )
        except (KeyError, TypeError, ValueError):
            # Cut off by a kill, or of another program.
            continue
        lines.append(line)
    return lines


def explain(lines: Sequence[LogLine], identity: str) -> Explanation:
    """Tells what became of a flow.

    Args:
        lines: Lines of all processes.
        identity: The flow, or its caller's endpoint.

    Returns:
        The time line with the likely cause.
    """
    own = [x for x in lines if str(x.fields.get("flow", "")).startswith(identity)]
    if not own:
        dropped = sum(_dropped(line) for line in lines)
        return Explanation((), "unknown: no line names the flow", _gaps(dropped))
    begin = min(line.at for line in own) - CONTEXT_SECONDS
    end = max(line.at for line in own) + CONTEXT_SECONDS
    involved = {line.process for line in own}
    involved |= {str(line.fields.get("agent", "")) for line in own}
    around = [
        line
        for line in lines
        if "flow" not in line.fields
        and line.event not in _NOISE
        and line.process in involved
        and begin <= line.at <= end
    ]
    shown = sorted([*own, *around], key=lambda line: (line.at, line.steady))
    dropped = sum(_dropped(line) for line in shown)
    cause = _behind(lines, own) or _cause_of(own)
    return Explanation(tuple(shown), cause, _gaps(dropped))


def _behind(lines: Sequence[LogLine], own: Sequence[LogLine]) -> str:
    """Tells whether the balancer that took the flow held an older configuration.

    Args:
        lines: Lines of all processes.
        own: Lines of the flow.

    Returns:
        The cause, or nothing if it held what the others did.
    """
    first = min(own, key=lambda line: line.at)
    before = [line for line in lines if line.at <= first.at]
    held = [line for line in before if line.event == _IN_FORCE]
    here = [line for line in held if line.process == first.process]
    if not here:
        return ""
    version = max(_number(line.fields.get("version")) for line in here)
    newer = [
        line
        for line in held
        if _number(line.fields.get("version")) > version
        and first.at - line.at >= BEHIND_SECONDS
    ]
    if not newer:
        return ""
    newest = max(newer, key=lambda line: _number(line.fields.get("version")))
    cause = (
        f"handled by version {version:g} of the configuration, while "
        f"{newest.fields.get('version')} was in force elsewhere "
        f"{first.at - newest.at:.1f} s before ({first.process})"
    )
    troubles = [
        line
        for line in before
        if line.process == first.process and line.event in _CONFIGURATION_TROUBLES
    ]
    if not troubles:
        return cause
    last = max(troubles, key=lambda line: line.at)
    return f"{cause}; {last.event}: {last.fields.get('error')}"


def _cause_of(own: Sequence[LogLine]) -> str:
    ordered = sorted(own, key=lambda line: (line.at, line.steady), reverse=True)
    for line in ordered:
        reason = str(line.fields.get("reason", ""))
        cause = _CAUSES.get((line.event, reason))
        if cause:
            return f"{cause} ({line.process})"
    waits = [_number(line.fields.get("waited")) for line in own]
    if waits and max(waits) > WAIT_SECONDS:
        return f"slow under load: waited {max(waits)} s beside its upstream"
    attempts = [line for line in own if line.event == "open"]
    if len(attempts) > 1:
        agent = attempts[0].fields.get("agent", "")
        return f"slow to open: the first agent, {agent}, refused or did not answer"
    answered = {line.fields.get("verdict") for line in own}
    if attempts and "accepted" not in answered:
        return "no agent's word came back: the agent or the way to it was down"
    return "the system refused nothing: look at the upstream and the events around"


def _number(value: object) -> float:
    return float(value) if isinstance(value, (int, float)) else 0.0


def _dropped(line: LogLine) -> int:
    dropped = line.fields.get("dropped_lines", 0)
    return dropped if isinstance(dropped, int) else 0


def _gaps(dropped: int) -> str:
    if not dropped:
        return ""
    return f"{dropped} lines were dropped around, so some decisions are not shown"


def render(explanation: Explanation) -> str:
    """Writes an explanation for a person.

    Args:
        explanation: The explanation.

    Returns:
        One line an event, with the time since the first one, then the cause.
    """
    text = []
    for line in explanation.lines:
        age = line.at - explanation.lines[0].at
        details = " ".join(f"{k}={v}" for k, v in line.fields.items())
        text.append(f"{age:+9.3f} s  {line.process:<24} {line.event}: {details}")
    text.append(f"likely cause: {explanation.cause}")
    if explanation.missing:
        text.append(f"missing: {explanation.missing}")
    return "\n".join(text)
