"""Responds to the heartbeats and the deregistration of an agent's upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from siskinshift.connections.upstream_state import Deregistration
from siskinshift.connections.upstream_state import Heartbeat
from siskinshift.control.exceptions import BadMessageError
from siskinshift.platform.heartbeats import ACKNOWLEDGEMENT
from siskinshift.platform.heartbeats import decode_upstream_request
from siskinshift.runtime.http_server import ServerResponse


if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Future

    from siskinshift.connections.leave_records import LeaveRecords
    from siskinshift.core.clocks import Clock
    from siskinshift.observability.event_log import EventLog
    from siskinshift.runtime.http_server import HttpRequest


# Below one second, after which an upstream repeats a request that got no response.
APPLY_TIMEOUT_SECONDS = 0.8
RESPONSE_TIMEOUT_SECONDS = 0.9

UpstreamMessage: TypeAlias = Heartbeat | Deregistration


class UpstreamRequests:
    """Acknowledges a message once it is applied and, for a leave, recorded."""

    def __init__(
        self,
        *,
        service_id: str,
        apply: Callable[[UpstreamMessage], Future[bool]],
        leave_records: LeaveRecords,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Initializes the handler.

        Args:
            service_id: Service of the upstream, from the settings.
            apply: Applies a message on the event loop; the result states whether it may
                be acknowledged.
            leave_records: Records of leaves.
            clock: Clock of the process.
            log: Event log.
        """
        self._service_id = service_id
        self._apply = apply
        self._leave_records = leave_records
        self._clock = clock
        self._log = log

    def handle(self, request: HttpRequest) -> ServerResponse:
        """Handles a request on a thread of the server.

        Args:
            request: The request.

        Returns:
            The response; a status other than 200 makes the upstream repeat it.
        """
        try:
            message = decode_upstream_request(request)
        except BadMessageError as error:
            # The sender is not this instance's upstream and may send at any rate.
            self._log.decision("heartbeat refused", error=str(error), path=request.path)
            return ServerResponse(400)
        if message is None:
            return ServerResponse(404)
        respond_by = self._clock() + RESPONSE_TIMEOUT_SECONDS
        # Acknowledged only once applied: balancers have been notified, and the agent
        # refuses new flows from now on if the upstream leaves.
        is_applied = self._apply(message).result(APPLY_TIMEOUT_SECONDS)
        if not is_applied or not self._is_durable(message, respond_by=respond_by):
            return ServerResponse(503)
        return ServerResponse(200, ACKNOWLEDGEMENT)

    def _is_durable(self, message: UpstreamMessage, *, respond_by: float) -> bool:
        """Records a leave; returns whether the message may be acknowledged.

        The agent's next process must know what this one has acknowledged. Until then
        new flows are refused, and the upstream repeats its heartbeat. A deregistration
        needs no record, since the upstream ends with it.
        """
        if not isinstance(message, Heartbeat) or not message.is_leaving:
            return True
        if message.service_id != self._service_id:
            return True
        timeout = respond_by - self._clock()
        return self._leave_records.record(message.incarnation, timeout=timeout)
