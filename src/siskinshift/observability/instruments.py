"""Defines the names and units under which counters are exported."""

from __future__ import annotations

from attrs import frozen


@frozen
class Instrument:
    """Name, unit and description of an OpenTelemetry instrument.

    Attributes:
        name: OpenTelemetry name.
        unit: Unit in UCUM notation.
        description: What is counted.
    """

    name: str
    unit: str
    description: str


EVENTS = Instrument(
    "siskinshift.events", "{event}", "Events without a counter of their own."
)
OBJECTIVE_EVENTS = Instrument(
    "siskinshift.objective.events",
    "{event}",
    "Events of an objective over a window, by result.",
)
REQUEST_DURATION = Instrument(
    "siskinshift.request.duration", "s", "Time from arrival to the end of the answer."
)

# Keyed by the first segment of a counter's name. The rest of the name becomes the
# attribute "kind".
INSTRUMENTS_BY_COUNTER: dict[str, Instrument] = {
    "forwarded": Instrument(
        "siskinshift.datagrams.forwarded", "{datagram}", "Datagrams passed on."
    ),
    "dropped": Instrument(
        "siskinshift.datagrams.dropped", "{datagram}", "Datagrams dropped, by kind."
    ),
    "flows": Instrument("siskinshift.flows", "{flow}", "Flows, by what happened."),
    "requests": Instrument(
        "siskinshift.requests", "{request}", "Requests, by what became of them."
    ),
    "kv": Instrument("siskinshift.kv.calls", "{call}", "Calls to the store, by kind."),
    "control": Instrument(
        "siskinshift.control.messages", "{message}", "Messages between processes."
    ),
    "notes": Instrument("siskinshift.notes", "{note}", "Hand-over notes, by kind."),
}
