"""Records counters, objectives and metrics of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.messages.core import OutcomeKind
from siskinshift.objectives.recorder import ObjectiveRecorder
from siskinshift.observability.metrics import Metrics
from siskinshift.runtime.counters import Counters


if TYPE_CHECKING:
    from siskinshift.core.clocks import Clock
    from siskinshift.core.requests import Request
    from siskinshift.settings.generated import Settings


class Telemetry:
    """Records events from all components of a process; thread-safe.

    Attributes:
        counters: Plain counters that the data path increments.
        objectives: Counts of good and bad events for the burn-rate report.
    """

    def __init__(self, settings: Settings, *, clock: Clock) -> None:
        """Initializes the telemetry without starting the export.

        Args:
            settings: All settings of the process.
            clock: Clock of the process.
        """
        self.counters = Counters()
        self.objectives = ObjectiveRecorder(settings.objectives)
        self._slots = settings.agent.slots
        self._clock = clock
        self._metrics = Metrics(
            settings, counters=self.counters, objectives=self.objectives, clock=clock
        )

    def start(self) -> None:
        """Starts the configured exporter."""
        self._metrics.start()

    def stop(self) -> None:
        """Exports a last time and stops the exporter."""
        self._metrics.stop()

    def record_request(self, request: Request, outcome: OutcomeKind) -> None:
        """Records the outcome of a request as its caller received it.

        Args:
            request: The request.
            outcome: Outcome of the request. If the request is answered, this is the
                outcome when the response headers were received.
        """
        now = self._clock()
        seconds = now - request.arrived_at
        if outcome is OutcomeKind.ANSWERED:
            self.counters.add("requests.answered")
        self._metrics.record_request(request.service_id, request.group_id, seconds)
        self.objectives.record_request(
            request.service_id,
            request.group_id,
            outcome=outcome,
            seconds=seconds,
            now=now,
        )

    def record_slot_time(self, service_id: str, *, seconds: float) -> None:
        """Records how long a request held a slot of the upstream.

        Args:
            service_id: Service of the request.
            seconds: Time from the dispatch of the request to its end.
        """
        # Work is compared per slot, because an upstream with more slots is expected to
        # do more work.
        self.objectives.record_slot_time(
            service_id, seconds=seconds / self._slots, now=self._clock()
        )

    def record_flow(self, service_id: str, *, broken: bool) -> None:
        """Records the end of a flow.

        Args:
            service_id: Service of the flow.
            broken: Whether the flow was cut before its caller ended it.
        """
        self.counters.add("flows.broken" if broken else "flows.ended")
        self.objectives.record_flow(service_id, broken=broken, now=self._clock())
