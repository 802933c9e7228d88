"""What a process tells of itself: counters, objectives and metrics, in one place."""

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
    """Takes events from the parts of a process; safe to share between threads.

    Attributes:
        counters: Cheap counters for the data path.
        objectives: Counts of good and bad events for the report on burn.
    """

    def __init__(self, settings: Settings, *, clock: Clock) -> None:
        """Prepares without exporting.

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
        """Starts to export as the settings say."""
        self._metrics.start()

    def stop(self) -> None:
        """Exports once more and ends."""
        self._metrics.stop()

    def request_ended(self, request: Request, outcome: OutcomeKind) -> None:
        """Takes what a caller was told of a request.

        Args:
            request: The request.
            outcome: Its outcome; of a whole answer, at the answer's head.
        """
        now = self._clock()
        seconds = now - request.arrived_at
        if outcome is OutcomeKind.ANSWERED:
            self.counters.add("requests.answered")
        self._metrics.request_ended(request.service_id, request.group_id, seconds)
        self.objectives.record_request(
            request.service_id,
            request.group_id,
            outcome=outcome,
            seconds=seconds,
            now=now,
        )

    def slot_used(self, service_id: str, *, seconds: float) -> None:
        """Takes the time that a run held a slot of the upstream.

        Args:
            service_id: Service of the request.
            seconds: Time from the offer to the end.
        """
        # Work is compared between upstreams by the slot: one with more slots is
        # meant to do more.
        self.objectives.record_slot_time(
            service_id, seconds=seconds / self._slots, now=self._clock()
        )

    def flow_ended(self, service_id: str, *, broken: bool) -> None:
        """Takes the end of a flow.

        Args:
            service_id: Service of the flow.
            broken: Whether it was cut before its caller ended it.
        """
        self.counters.add("flows.broken" if broken else "flows.ended")
        self.objectives.record_flow(service_id, broken=broken, now=self._clock())
