"""Handlers of the calls of the operators' API."""

from __future__ import annotations

import functools
import threading
from collections.abc import Callable
from collections.abc import Iterator
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

import grpc

from siskinshift.api.authorization import Permission
from siskinshift.api.authorization import TokenAuthorizer
from siskinshift.api.conversion import accepted_change_to_message
from siskinshift.api.conversion import member_to_message
from siskinshift.api.conversion import service_to_message
from siskinshift.api.exceptions import TooManyWatchersError
from siskinshift.api.generated import operators_pb2 as pb
from siskinshift.api.protocol import CURRENT_REVISION_KEY
from siskinshift.api.protocol import ERROR_KIND_KEY
from siskinshift.api.requests import change_from_request
from siskinshift.configuration.exceptions import RevisionConflictError
from siskinshift.core.errors import ERROR_RESPONSES_BY_KIND
from siskinshift.exceptions import SiskinshiftError
from siskinshift.observability.logs import ComponentLog


if TYPE_CHECKING:
    from siskinshift.configuration.store import ConfigurationStore
    from siskinshift.core.views import View
    from siskinshift.membership.node import MembershipNode
    from siskinshift.messages.core import Service
    from siskinshift.settings.generated import Settings


_log = ComponentLog("operators-api")

# Interval at which a watch call checks whether its client has disconnected.
WATCH_POLL_SECONDS = 0.5

Handler: TypeAlias = Callable[["OperatorsService", Any, Any], Any]


def _authorized(permission: Permission) -> Callable[[Handler], Handler]:
    """Wraps a handler: authorizes the call and maps exceptions to gRPC errors."""

    def decorate(handler: Handler) -> Handler:
        @functools.wraps(handler)
        def checked(service: OperatorsService, request: Any, context: Any) -> Any:
            try:
                service.authorizer.authorize(context.invocation_metadata(), permission)
                return handler(service, request, context)
            except SiskinshiftError as error:
                _abort(context, error)

        return checked

    return decorate


def _abort(context: Any, error: SiskinshiftError) -> None:
    metadata = [(ERROR_KIND_KEY, error.kind.value)]
    if isinstance(error, RevisionConflictError):
        metadata.append((CURRENT_REVISION_KEY, str(error.current_revision)))
    context.set_trailing_metadata(metadata)
    code = ERROR_RESPONSES_BY_KIND[error.kind].grpc_code
    context.abort(grpc.StatusCode[code], str(error))


class OperatorsService:
    """Implements the calls of the schema under the names that gRPC requires.

    Attributes:
        authorizer: Checks the token and its permission.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        store: ConfigurationStore,
        membership: MembershipNode,
        store_available: Callable[[], bool],
    ) -> None:
        """Initializes the service.

        Args:
            settings: Settings of the process.
            store: Applies changes to the stored configuration.
            membership: Source of the current view; receives accepted changes.
            store_available: Returns whether the last request to the key-value
                service succeeded.
        """
        self.authorizer = TokenAuthorizer(settings.api)
        self._member_id = settings.node.node_id
        self._store = store
        self._membership = membership
        self._store_available = store_available
        self._stopping = threading.Event()
        self._view_changed = threading.Condition()
        self._watcher_slots = threading.BoundedSemaphore(settings.api.watchers)
        membership.views.subscribe(self._on_view)

    def stop(self) -> None:
        """Ends all watch calls."""
        self._stopping.set()
        with self._view_changed:
            self._view_changed.notify_all()

    @_authorized(Permission.CHANGE)
    def CreateService(self, request: Any, _context: Any) -> Any:
        """Creates a service."""
        return self._change(request)

    @_authorized(Permission.CHANGE)
    def ReplaceService(self, request: Any, _context: Any) -> Any:
        """Replaces a service's content."""
        return self._change(request)

    @_authorized(Permission.CHANGE)
    def DeleteService(self, request: Any, _context: Any) -> Any:
        """Deletes a service."""
        return self._change(request)

    @_authorized(Permission.CHANGE)
    def PutGroup(self, request: Any, _context: Any) -> Any:
        """Adds or replaces a group."""
        return self._change(request)

    @_authorized(Permission.CHANGE)
    def DeleteGroup(self, request: Any, _context: Any) -> Any:
        """Removes a group."""
        return self._change(request)

    @_authorized(Permission.CHANGE)
    def SetShare(self, request: Any, _context: Any) -> Any:
        """Sets a group's share."""
        return self._change(request)

    @_authorized(Permission.CHANGE)
    def SetDrain(self, request: Any, _context: Any) -> Any:
        """Starts or ends the drain of an agent."""
        return self._change(request)

    @_authorized(Permission.CHANGE)
    def SetEvacuation(self, request: Any, _context: Any) -> Any:
        """Starts or ends the evacuation of a failure domain."""
        return self._change(request)

    @_authorized(Permission.READ)
    def FindChange(self, request: Any, _context: Any) -> Any:
        """Finds a change that took effect by its id."""
        found = self._store.find(request.change_id)
        if found is None:
            return pb.FindChangeReply(found=False)
        return pb.FindChangeReply(
            found=True, service_id=found.service_id, revision=found.revision
        )

    @_authorized(Permission.READ)
    def ListServices(self, request: Any, _context: Any) -> Any:
        """Lists the services in the service table.

        A change appears here shortly before the view that contains it is published.
        """
        services = self._membership.services.services_by_id
        selected = [
            services[service_id]
            for service_id in sorted(services)
            if request.service_id in ("", service_id)
            and not services[service_id].deleted
        ]
        return pb.ListServicesReply(services=[service_to_message(s) for s in selected])

    @_authorized(Permission.READ)
    def GetStatus(self, _request: Any, _context: Any) -> Any:
        """Returns the state of this balancer and the nodes that it has in its view."""
        view = self._membership.views.current
        members = view.members_by_id
        services = self._membership.services.services_by_id.values()
        return pb.GetStatusReply(
            member_id=self._member_id,
            view_version=view.version,
            configuration_revision=self._membership.services.revision,
            store_available=self._store_available(),
            services=sum(not service.deleted for service in services),
            nodes=[
                member_to_message(members[member_id]) for member_id in sorted(members)
            ],
        )

    @_authorized(Permission.READ)
    def WatchServices(self, request: Any, context: Any) -> Iterator[Any]:
        """Streams the services in force, then each update."""
        # Each watch call occupies a thread; without a limit they could exhaust the
        # thread pool.
        if not self._watcher_slots.acquire(blocking=False):
            raise TooManyWatchersError("too many watch calls; try another balancer")
        if not context.add_callback(self._watcher_slots.release):
            self._watcher_slots.release()
        return self._service_events(request.after_revision, context)

    def _service_events(self, after_revision: int, context: Any) -> Iterator[Any]:
        sent_revisions_by_id: dict[str, int] = {}
        caught_up = False
        while context.is_active() and not self._stopping.is_set():
            version = self._membership.views.current.version
            for service in self._services_in_force():
                sent_revision = sent_revisions_by_id.get(
                    service.service_id, after_revision
                )
                if service.revision <= sent_revision:
                    continue
                sent_revisions_by_id[service.service_id] = service.revision
                yield pb.ServiceEvent(
                    service=service_to_message(service), deleted=service.deleted
                )
            if not caught_up:
                caught_up = True
                yield pb.ServiceEvent(caught_up=True)
            self._wait_for_view_after(version)

    def _services_in_force(self) -> list[Service]:
        view = self._membership.views.current
        services = self._membership.services.services_by_id.values()
        tombstones = [
            s for s in services if s.deleted and s.service_id not in view.services_by_id
        ]
        in_force = [*view.services_by_id.values(), *tombstones]
        return sorted(in_force, key=lambda service: service.revision)

    def _wait_for_view_after(self, version: int) -> None:
        with self._view_changed:
            if self._membership.views.current.version == version:
                self._view_changed.wait(WATCH_POLL_SECONDS)

    def _on_view(self, _view: View) -> None:
        with self._view_changed:
            self._view_changed.notify_all()

    def _change(self, request: Any) -> Any:
        try:
            accepted = self._store.apply(
                change_from_request(request), request.change_id
            )
        except SiskinshiftError as error:
            _log.info(
                "A change was not accepted.",
                change_id=request.change_id,
                request=type(request).__name__,
                kind=error.code,
            )
            raise
        _log.info(
            "A change was accepted.",
            change_id=accepted.change_id,
            request=type(request).__name__,
            service=accepted.service_id,
            revision=accepted.revision,
        )
        if accepted.service is not None:
            # Applied here at once; gossip distributes it even if the store becomes
            # unavailable.
            self._membership.services.merge(accepted.service)
            self._membership.publish_merged_services()
        return accepted_change_to_message(accepted)
