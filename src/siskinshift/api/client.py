"""Typed client of the operators' API, for the command line and for scripts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import grpc
from attrs import frozen

from siskinshift.api.conversion import group_message
from siskinshift.api.conversion import member_from
from siskinshift.api.conversion import service_in_force
from siskinshift.api.conversion import service_message
from siskinshift.api.exceptions import OperatorsCallError
from siskinshift.api.generated import operators_pb2 as pb
from siskinshift.api.generated.operators_pb2_grpc import OperatorsStub
from siskinshift.api.protocol import AUTHORIZATION_KEY
from siskinshift.api.protocol import BEARER_PREFIX
from siskinshift.api.protocol import CURRENT_REVISION_KEY
from siskinshift.api.protocol import ERROR_KIND_KEY
from siskinshift.api.protocol import REQUEST_SIZE_MAXIMUM
from siskinshift.configuration.store import AcceptedChange
from siskinshift.configuration.store import new_change_id
from siskinshift.core.endpoints import format_endpoint
from siskinshift.core.errors import ErrorKind
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import Service
from siskinshift.settings.options import Secret


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from siskinshift.messages.core import Group


REACH_SECONDS = 3.0
# No service can have this name, so the answer is empty.
NO_SERVICE_ID = "."
# Longer than the server's own efforts to find out what became of a change.
CALL_SECONDS = 20.0


@frozen
class ClientSettings:
    """Where the API is and how to speak to it.

    Attributes:
        endpoint: A balancer's API endpoint.
        token: Bearer token.
        authority: Certificates in PEM that the server's is checked against.
        server_name: Name in the server's certificate; empty for the endpoint's host.
        timeout: Time allowed for a call, seconds.
        reach_timeout: Time allowed for the look whether the balancer is there, seconds.
    """

    endpoint: Endpoint
    token: Secret
    authority: bytes
    server_name: str = ""
    timeout: float = CALL_SECONDS
    reach_timeout: float = REACH_SECONDS


@frozen
class FoundChange:
    """A change that took effect.

    Attributes:
        change_id: Its id.
        service_id: Service it changed.
        revision: Revision at which it took effect.
    """

    change_id: str
    service_id: str
    revision: int


@frozen
class StatusReport:
    """The system as one balancer sees it.

    Attributes:
        member_id: The balancer that answered.
        view_version: Counts the views it has had.
        configuration_revision: Newest revision in force on it.
        store_available: Whether the key-value service answered it last time.
        services: Number of services in force.
        members: All processes it knows, ordered by member id.
    """

    member_id: str
    view_version: int
    configuration_revision: int
    store_available: bool
    services: int
    members: tuple[Member, ...]


@frozen
class ServiceUpdate:
    """A service as it came into force, or its end.

    Attributes:
        service: The service; of a deleted one only id, revision and change id count.
        deleted: Whether it was deleted.
    """

    service: Service
    deleted: bool


class OperatorsClient:
    """Makes the calls of the API; safe to share between threads.

    Every method raises OperatorsCallError when the call does not succeed. For a
    change its kind tells what became of it: `outcome_unknown` means that it may have
    taken effect, any other kind that it did not.
    """

    def __init__(self, settings: ClientSettings) -> None:
        """Prepares the client; connects with the first call.

        Args:
            settings: Where the API is.
        """
        self._settings = settings
        # Retries by the library are switched off: a change is sent once.
        options: list[tuple[str, int | str]] = [("grpc.enable_retries", 0)]
        if settings.server_name:
            options.append(
                ("grpc.ssl_target_name_override", settings.server_name),
            )
        credentials = grpc.ssl_channel_credentials(settings.authority)
        self._channel: Any = grpc.secure_channel(
            format_endpoint(settings.endpoint), credentials, options=options
        )
        self._stub: Any = OperatorsStub(self._channel)
        bearer = BEARER_PREFIX + settings.token.value
        self._metadata = ((AUTHORIZATION_KEY, bearer),)

    def close(self) -> None:
        """Closes the connection and ends watches."""
        self._channel.close()

    def create_service(
        self, service: Service, *, change_id: str = ""
    ) -> AcceptedChange:
        """Creates a service.

        Args:
            service: The service; revision, change id, drained and evacuated are
                passed over.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.CreateService,
            lambda: pb.CreateServiceRequest(
                change_id=change_id or new_change_id(), service=service_message(service)
            ),
        )

    def replace_service(
        self, service: Service, *, revision: int, change_id: str = ""
    ) -> AcceptedChange:
        """Replaces a service's content.

        Args:
            service: The new content.
            revision: Revision it was made from.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.ReplaceService,
            lambda: pb.ReplaceServiceRequest(
                change_id=change_id or new_change_id(),
                service=service_message(service),
                revision=revision,
            ),
        )

    def delete_service(
        self, service_id: str, *, revision: int, change_id: str = ""
    ) -> AcceptedChange:
        """Deletes a service.

        Args:
            service_id: The service.
            revision: Revision the operator has seen.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.DeleteService,
            lambda: pb.DeleteServiceRequest(
                change_id=change_id or new_change_id(),
                service_id=service_id,
                revision=revision,
            ),
        )

    def put_group(
        self, service_id: str, group: Group, *, revision: int = 0, change_id: str = ""
    ) -> AcceptedChange:
        """Adds or replaces a group.

        Args:
            service_id: The service.
            group: The group.
            revision: Revision the operator has seen; 0 for whatever is current.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.PutGroup,
            lambda: pb.PutGroupRequest(
                change_id=change_id or new_change_id(),
                service_id=service_id,
                group=group_message(group),
                revision=revision,
            ),
        )

    def delete_group(
        self, service_id: str, group_id: str, *, revision: int = 0, change_id: str = ""
    ) -> AcceptedChange:
        """Removes a group.

        Args:
            service_id: The service.
            group_id: The group.
            revision: Revision the operator has seen; 0 for whatever is current.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.DeleteGroup,
            lambda: pb.DeleteGroupRequest(
                change_id=change_id or new_change_id(),
                service_id=service_id,
                group_id=group_id,
                revision=revision,
            ),
        )

    def set_share(
        self,
        service_id: str,
        group_id: str,
        share: int,
        *,
        revision: int = 0,
        change_id: str = "",
    ) -> AcceptedChange:
        """Sets the share a group is owed.

        Args:
            service_id: The service.
            group_id: The group.
            share: The share, above 0.
            revision: Revision the operator has seen; 0 for whatever is current.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.SetShare,
            lambda: pb.SetShareRequest(
                change_id=change_id or new_change_id(),
                service_id=service_id,
                group_id=group_id,
                share=share,
                revision=revision,
            ),
        )

    def set_drain(
        self,
        service_id: str,
        member_id: str,
        *,
        drained: bool,
        revision: int = 0,
        change_id: str = "",
    ) -> AcceptedChange:
        """Drains an agent of a service, or takes that back.

        Args:
            service_id: The service.
            member_id: Member id of the agent.
            drained: Whether it is to be drained.
            revision: Revision the operator has seen; 0 for whatever is current.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.SetDrain,
            lambda: pb.SetDrainRequest(
                change_id=change_id or new_change_id(),
                service_id=service_id,
                member_id=member_id,
                drained=drained,
                revision=revision,
            ),
        )

    def set_evacuation(
        self,
        service_id: str,
        failure_domain: str,
        *,
        evacuated: bool,
        revision: int = 0,
        change_id: str = "",
    ) -> AcceptedChange:
        """Evacuates a failure domain for a service, or takes it back.

        Args:
            service_id: The service.
            failure_domain: The failure domain.
            evacuated: Whether its agents are to get no new flows.
            revision: Revision the operator has seen; 0 for whatever is current.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.SetEvacuation,
            lambda: pb.SetEvacuationRequest(
                change_id=change_id or new_change_id(),
                service_id=service_id,
                failure_domain=failure_domain,
                evacuated=evacuated,
                revision=revision,
            ),
        )

    def find_change(self, change_id: str) -> FoundChange | None:
        """Looks for a change among the latest that took effect.

        Args:
            change_id: Id of the change.

        Returns:
            The change, or None; None is no proof that it never takes effect.
        """
        reply = self._read(
            self._stub.FindChange, pb.FindChangeRequest(change_id=change_id)
        )
        if not reply.found:
            return None
        return FoundChange(change_id, reply.service_id, reply.revision)

    def list_services(self, service_id: str = "") -> list[Service]:
        """Lists the services in force on the balancer that answers.

        Args:
            service_id: Only this service; empty for all.

        Returns:
            The services ordered by id.
        """
        request = pb.ListServicesRequest(service_id=service_id)
        reply = self._read(self._stub.ListServices, request)
        return [service_in_force(service) for service in reply.services]

    def get_status(self) -> StatusReport:
        """Reads the state of the nodes.

        Returns:
            The state as the balancer that answers sees it.
        """
        reply = self._read(self._stub.GetStatus, pb.GetStatusRequest())
        return StatusReport(
            member_id=reply.member_id,
            view_version=reply.view_version,
            configuration_revision=reply.configuration_revision,
            store_available=reply.store_available,
            services=reply.services,
            members=tuple(member_from(node) for node in reply.nodes),
        )

    def watch_services(self, *, after_revision: int = 0) -> Iterator[ServiceUpdate]:
        """Waits for services and changes to come into force.

        Args:
            after_revision: Updates up to this revision are left out.

        Yields:
            Each update; ends when the balancer stops.
        """
        request = pb.WatchServicesRequest(after_revision=after_revision)
        call = self._stub.WatchServices(request, metadata=self._metadata)
        try:
            for event in call:
                if not event.caught_up:
                    yield ServiceUpdate(service_in_force(event.service), event.deleted)
        except grpc.RpcError as error:
            raise _call_error(error, ErrorKind.PEER_UNREACHABLE) from error
        finally:
            call.cancel()

    def _change(
        self, method: Callable[..., Any], make_request: Callable[[], Any]
    ) -> AcceptedChange:
        request = _made(make_request)
        self._check_reachable()
        try:
            reply = method(
                request, timeout=self._settings.timeout, metadata=self._metadata
            )
        except grpc.RpcError as error:
            # Sent, and no answer of the server came back: it may have taken effect.
            raise _call_error(
                error, ErrorKind.OUTCOME_UNKNOWN, request.change_id
            ) from error
        service = service_in_force(reply.service) if reply.HasField("service") else None
        return AcceptedChange(
            reply.change_id, reply.service_id, reply.revision, service
        )

    def _read(
        self, method: Callable[..., Any], request: Any, *, timeout: float = 0.0
    ) -> Any:
        timeout = timeout or self._settings.timeout
        try:
            return method(request, timeout=timeout, metadata=self._metadata)
        except grpc.RpcError as error:
            raise _call_error(error, ErrorKind.PEER_UNREACHABLE) from error

    def _check_reachable(self) -> None:
        # Asked before each change, so that a balancer that is not there, or whose
        # certificate is not trusted, is told apart from an answer that was lost.
        request = pb.ListServicesRequest(service_id=NO_SERVICE_ID)
        self._read(
            self._stub.ListServices, request, timeout=self._settings.reach_timeout
        )


def _made(make_request: Callable[[], Any]) -> Any:
    try:
        request = make_request()
    except (TypeError, ValueError) as error:
        # A number out of the range of the schema's type, or a value of another type.
        raise OperatorsCallError(ErrorKind.INVALID_ARGUMENT, str(error)) from error
    if request.ByteSize() > REQUEST_SIZE_MAXIMUM:
        raise OperatorsCallError(
            ErrorKind.TOO_LARGE, f"request of {request.ByteSize()} bytes"
        )
    return request


def _call_error(
    error: Any, kind_without_answer: ErrorKind, change_id: str = ""
) -> OperatorsCallError:
    trailing = dict(error.trailing_metadata() or ())
    try:
        kind = ErrorKind(trailing.get(ERROR_KIND_KEY, kind_without_answer))
    except ValueError:
        kind = kind_without_answer
    revision = str(trailing.get(CURRENT_REVISION_KEY, "0"))
    return OperatorsCallError(
        kind,
        error.details() or error.code().name,
        change_id=change_id,
        current_revision=int(revision) if revision.isdecimal() else 0,
    )
