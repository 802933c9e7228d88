"""Decides which services' requests an agent refuses because operators excluded it.

Balancers route callers to a drained or evacuated agent only if no other agent of the
service is left (`View.bucket_agents_of`). The agent then refuses their requests at
once, since a balancer can't respond to a QUIC handshake.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.views import is_drained


if TYPE_CHECKING:
    from collections.abc import Mapping

    from siskinshift.core.views import View
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import Service


class ServiceRefusals:
    """Holds the error of each refused service. No I/O, no clock.

    One thread may update it while others read.
    """

    def __init__(self) -> None:
        """Initializes the object without refusals."""
        self._errors_by_service: Mapping[str, ErrorKind] = MappingProxyType({})

    def update(self, view: View, own: Member) -> None:
        """Applies a new view.

        Args:
            view: The view.
            own: The agent.
        """
        self._errors_by_service = MappingProxyType(
            {
                service.service_id: _error_of(view, service)
                for service in view.services_by_id.values()
                if service.upstream_class == own.upstream_class
                and is_drained(service, own)
            }
        )

    def error_of(self, service_id: str) -> ErrorKind | None:
        """Returns the error that new requests of a service are refused with.

        Args:
            service_id: The service.

        Returns:
            NO_UPSTREAM if no agent may serve them, DRAINING if another agent does on a
            new connection, None if this agent does.
        """
        return self._errors_by_service.get(service_id)


def _error_of(view: View, service: Service) -> ErrorKind:
    if view.eligible_agents_of(service):
        return ErrorKind.DRAINING
    return ErrorKind.NO_UPSTREAM
