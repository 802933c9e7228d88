"""Answers the calls of the operators' API."""

from __future__ import annotations

import functools
import threading
from collections.abc import Callable
from collections.abc import Iterator
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

import grpc

from siskinshift.api.access import Access
from siskinshift.api.access import Permission
from siskinshift.api.conversion import change_message
from siskinshift.api.conversion import node_message
from siskinshift.api.conversion import service_message
from siskinshift.api.exceptions import TooManyWatchersError
from siskinshift.api.generated import operators_pb2 as pb
from siskinshift.api.protocol import CURRENT_REVISION_KEY
from siskinshift.api.protocol import ERROR_KIND_KEY
from siskinshift.api.requests import change_from
from siskinshift.configuration.exceptions import RevisionConflictError
from siskinshift.core.errors import ERROR_RESPONSES_BY_KIND
from siskinshift.exceptions import SiskinshiftError
from siskinshift.observability.logs import PartLog


if TYPE_CHECKING:
    from siskinshift.configuration.store import ConfigurationStore
    from siskinshift.core.views import View
    from siskinshift.membership.node import MembershipNode
    from siskinshift.messages.core import Service
    from siskinshift.settings.generated import Settings


_log = PartLog("operators-api")

# How soon a watch call notices that its client went away.
WATCH_TICK_SECONDS = 0.5

Handler: TypeAlias = Callable[["OperatorsService", Any, Any], Any]


def _call(permission: Permission) -> Callable[[Handler], Handler]:
    """Makes a handler check the caller and answer errors by their kind."""

    def decorate(handler: Handler) -> Handler:
        @functools.wraps(handler)
        def checked(service: OperatorsService, request: Any, context: Any) -> Any:
            try:
                service.access.check(context.invocation_metadata(), permission)
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
    """Handlers by the names that the schema gives them.

    Attributes:
        access: Who may do what.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        store: ConfigurationStore,
        membership: MembershipNode,
        store_available: Callable[[], bool],
    ) -> None:
        """Prepares the handlers.

        Args:
            settings: All settings of the process.
            store: Makes the changes.
            membership: Holds the view; told of accepted changes.
            store_available: Whether the key-value service answered last time.
        """
        self.access = Access(settings.api)
        self._member_id = settings.node.node_id
        self._store = store
        self._membership = membership
        self._store_available = store_available
        self._stopping = threading.Event()
        self._view_changed = threading.Condition()
        self._watchers = threading.BoundedSemaphore(settings.api.watchers)
        membership.views.subscribe(self._on_view)

    def stop(self) -> None:
        """Ends the watch calls."""
        self._stopping.set()
        with self._view_changed:
            self._view_changed.notify_all()

    @_call(Permission.CHANGE)
    def CreateService(self, request: Any, _context: Any) -> Any:
        """Creates a service."""
        return self._change(request)

    @_call(Permission.CHANGE)
    def ReplaceService(self, request: Any, _context: Any) -> Any:
        """Replaces a service's content."""
        return self._change(request)

    @_call(Permission.CHANGE)
    def DeleteService(self, request: Any, _context: Any) -> Any:
        """Deletes a service."""
        return self._change(request)

    @_call(Permission.CHANGE)
    def PutGroup(self, request: Any, _context: Any) -> Any:
        """Adds or replaces a group."""
        return self._change(request)

    @_call(Permission.CHANGE)
    def DeleteGroup(self, request: Any, _context: Any) -> Any:
        """Removes a group."""
        return self._change(request)

    @_call(Permission.CHANGE)
    def SetShare(self, request: Any, _context: Any) -> Any:
        """Sets a group's share."""
        return self._change(request)

    @_call(Permission.CHANGE)
    def SetDrain(self, request: Any, _context: Any) -> Any:
        """Drains an agent or takes that back."""
        return self._change(request)

    @_call(Permission.CHANGE)
    def SetEvacuation(self, request: Any, _context: Any) -> Any:
        """Drains an agent or takes that back."""
        return self._change(request)

    @_call(Permission.READ)
    def FindChange(self, request: Any, _context: Any) -> Any:
        """Looks for a change."""
        found = self._store.find(request.change_id)
        if found is None:
            return pb.FindChangeReply(found=False)
        return pb.FindChangeReply(
            found=True, service_id=found.service_id, revision=found.revision
        )

    @_call(Permission.READ)
    def ListServices(self, request: Any, _context: Any) -> Any:
        """Lists the services held; their view is published within a moment."""
        services = self._membership.services.services_by_id
        wanted = [
            services[service_id]
            for service_id in sorted(services)
            if request.service_id in ("", service_id)
            and not services[service_id].deleted
        ]
        return pb.ListServicesReply(services=[service_message(s) for s in wanted])

    @_call(Permission.READ)
    def GetStatus(self, _request: Any, _context: Any) -> Any:
        """Shows the nodes."""
        view = self._membership.views.current
        members = view.members_by_id
        held = self._membership.services.services_by_id.values()
        return pb.GetStatusReply(
            member_id=self._member_id,
            view_version=view.version,
            configuration_revision=self._membership.services.revision,
            store_available=self._store_available(),
            services=sum(not service.deleted for service in held),
            nodes=[node_message(members[member_id]) for member_id in sorted(members)],
        )

    @_call(Permission.READ)
    def WatchServices(self, request: Any, context: Any) -> Iterator[Any]:
        """Sends the services in force, then each change."""
        # Each watch call holds a thread; without a limit they would use up all.
        if not self._watchers.acquire(blocking=False):
            raise TooManyWatchersError("too many watch calls; try another balancer")
        if not context.add_callback(self._watchers.release):
            self._watchers.release()
        return self._events(request.after_revision, context)

    def _events(self, after_revision: int, context: Any) -> Iterator[Any]:
        sent_by_id: dict[str, int] = {}
        caught_up = False
        while context.is_active() and not self._stopping.is_set():
            version = self._membership.views.current.version
            for service in self._in_force():
                sent = sent_by_id.get(service.service_id, after_revision)
                if service.revision <= sent:
                    continue
                sent_by_id[service.service_id] = service.revision
                yield pb.ServiceEvent(
                    service=service_message(service), deleted=service.deleted
                )
            if not caught_up:
                caught_up = True
                yield pb.ServiceEvent(caught_up=True)
            self._wait_for_view_after(version)

    def _in_force(self) -> list[Service]:
        view = self._membership.views.current
        known = self._membership.services.services_by_id.values()
        tombstones = [
            s for s in known if s.deleted and s.service_id not in view.services_by_id
        ]
        in_force = [*view.services_by_id.values(), *tombstones]
        return sorted(in_force, key=lambda service: service.revision)

    def _wait_for_view_after(self, version: int) -> None:
        with self._view_changed:
            if self._membership.views.current.version == version:
                self._view_changed.wait(WATCH_TICK_SECONDS)

    def _on_view(self, _view: View) -> None:
        with self._view_changed:
            self._view_changed.notify_all()

    def _change(self, request: Any) -> Any:
        try:
            accepted = self._store.apply(change_from(request), request.change_id)
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
            # In force here at once; gossip carries it on, whatever the store does.
            self._membership.services.merge(accepted.service)
            self._membership.services_changed()
        return change_message(accepted)
