"""Typed client of the operators' API, for the command line and for scripts.

Before each change the client checks that the balancer is reachable, so that an
unreachable balancer is not reported as a change with an unknown outcome.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import grpc
from attrs import frozen

from siskinshift.api.conversion import group_to_message
from siskinshift.api.conversion import member_from_message
from siskinshift.api.conversion import service_from_reply
from siskinshift.api.conversion import service_to_message
from siskinshift.api.exceptions import OperatorsCallError
from siskinshift.api.generated import operators_pb2 as pb
from siskinshift.api.generated.operators_pb2_grpc import OperatorsStub
from siskinshift.api.protocol import AUTHORIZATION_KEY
from siskinshift.api.protocol import BEARER_PREFIX
from siskinshift.api.protocol import CURRENT_REVISION_KEY
from siskinshift.api.protocol import ERROR_KIND_KEY
from siskinshift.api.protocol import MAX_REQUEST_BYTES
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


REACHABILITY_TIMEOUT_SECONDS = 3.0
# Not a valid service id, so the response is always empty.
NONEXISTENT_SERVICE_ID = "."
# Longer than the server's own attempts to determine the outcome of a change.
CALL_TIMEOUT_SECONDS = 20.0


@frozen
class ClientSettings:
    """Address of the API, credentials and timeouts.

    Attributes:
        endpoint: API endpoint of a balancer.
        token: Bearer token.
        ca_certificates: Certificates in PEM that verify the server's certificate.
        server_name: Name in the server's certificate; empty for the endpoint's host.
        timeout: Timeout of a call, seconds.
        reach_timeout: Timeout of the reachability check before a change, seconds.
    """

    endpoint: Endpoint
    token: Secret
    ca_certificates: bytes
    server_name: str = ""
    timeout: float = CALL_TIMEOUT_SECONDS
    reach_timeout: float = REACHABILITY_TIMEOUT_SECONDS


@frozen
class FoundChange:
    """A change that took effect.

    Attributes:
        change_id: Id of the change.
        service_id: Service that it changed.
        revision: Revision at which it took effect.
    """

    change_id: str
    service_id: str
    revision: int


@frozen
class StatusReport:
    """State of the system in the view of one balancer.

    Attributes:
        member_id: Member id of the balancer that replied.
        view_version: Number of views that the balancer has published.
        configuration_revision: Newest revision in force on the balancer.
        store_available: Whether its last request to the key-value service succeeded.
        services: Number of services in force.
        members: All processes in its view, ordered by member id.
    """

    member_id: str
    view_version: int
    configuration_revision: int
    store_available: bool
    services: int
    members: tuple[Member, ...]


@frozen
class ServiceUpdate:
    """A new revision of a service, or its deletion.

    Attributes:
        service: The service; only id, revision and change id are set after a deletion.
        deleted: Whether the service was deleted.
    """

    service: Service
    deleted: bool


class OperatorsClient:
    """Client of the operators' API; safe to share between threads.

    Every method raises OperatorsCallError when the call fails. For a change, the kind
    `outcome_unknown` means that it may have taken effect; any other kind means that it
    did not.
    """

    def __init__(self, settings: ClientSettings) -> None:
        """Initializes the client; it connects with the first call.

        Args:
            settings: Address of the API, credentials and timeouts.
        """
        self._settings = settings
        # Disables retries by the gRPC library, so that a change is sent only once.
        options: list[tuple[str, int | str]] = [("grpc.enable_retries", 0)]
        if settings.server_name:
            options.append(
                ("grpc.ssl_target_name_override", settings.server_name),
            )
        credentials = grpc.ssl_channel_credentials(settings.ca_certificates)
        self._channel: Any = grpc.secure_channel(
            format_endpoint(settings.endpoint), credentials, options=options
        )
        self._stub: Any = OperatorsStub(self._channel)
        authorization = BEARER_PREFIX + settings.token.value
        self._metadata = ((AUTHORIZATION_KEY, authorization),)

    def close(self) -> None:
        """Closes the connection and ends all watches."""
        self._channel.close()

    def create_service(
        self, service: Service, *, change_id: str = ""
    ) -> AcceptedChange:
        """Creates a service.

        Args:
            service: The service; revision, change id, drained and evacuated are
                ignored.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.CreateService,
            lambda: pb.CreateServiceRequest(
                change_id=change_id or new_change_id(),
                service=service_to_message(service),
            ),
        )

    def replace_service(
        self, service: Service, *, revision: int, change_id: str = ""
    ) -> AcceptedChange:
        """Replaces the content of a service.

        Args:
            service: The new content.
            revision: Revision that the new content is based on.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.ReplaceService,
            lambda: pb.ReplaceServiceRequest(
                change_id=change_id or new_change_id(),
                service=service_to_message(service),
                revision=revision,
            ),
        )

    def delete_service(
        self, service_id: str, *, revision: int, change_id: str = ""
    ) -> AcceptedChange:
        """Deletes a service.

        Args:
            service_id: Id of the service.
            revision: Revision that is expected to be current.
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
            service_id: Id of the service.
            group: The group.
            revision: Revision that is expected to be current; 0 skips the check.
            change_id: Id of the change; empty for a new one.

        Returns:
            The accepted change.
        """
        return self._change(
            self._stub.PutGroup,
            lambda: pb.PutGroupRequest(
                change_id=change_id or new_change_id(),
                service_id=service_id,
                group=group_to_message(group),
                revision=revision,
            ),
        )

    def delete_group(
        self, service_id: str, group_id: str, *, revision: int = 0, change_id: str = ""
    ) -> AcceptedChange:
        """Removes a group.

        Args:
            service_id: Id of the service.
            group_id: Id of the group.
            revision: Revision that is expected to be current; 0 skips the check.
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
        """Sets the share of a group.

        Args:
            service_id: Id of the service.
            group_id: Id of the group.
            share: The share; must be above 0.
            revision: Revision that is expected to be current; 0 skips the check.
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
        """Starts or ends the drain of an agent for a service.

        Args:
            service_id: Id of the service.
            member_id: Member id of the agent.
            drained: True to start the drain, False to end it.
            revision: Revision that is expected to be current; 0 skips the check.
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
        """Starts or ends the evacuation of a failure domain for a service.

        Args:
            service_id: Id of the service.
            failure_domain: The failure domain.
            evacuated: True to assign no new flows to its agents, False to end this.
            revision: Revision that is expected to be current; 0 skips the check.
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
        """Finds a change among the latest that took effect.

        Args:
            change_id: Id of the change.

        Returns:
            The change, or None if it is not found. None does not prove that it never
            takes effect.
        """
        reply = self._read(
            self._stub.FindChange, pb.FindChangeRequest(change_id=change_id)
        )
        if not reply.found:
            return None
        return FoundChange(change_id, reply.service_id, reply.revision)

    def list_services(self, service_id: str = "") -> list[Service]:
        """Lists the services in force on the balancer that replies.

        Args:
            service_id: Id of the only service to list; empty for all.

        Returns:
            The services ordered by id.
        """
        request = pb.ListServicesRequest(service_id=service_id)
        reply = self._read(self._stub.ListServices, request)
        return [service_from_reply(service) for service in reply.services]

    def get_status(self) -> StatusReport:
        """Reads the state of the system.

        Returns:
            The state in the view of the balancer that replies.
        """
        reply = self._read(self._stub.GetStatus, pb.GetStatusRequest())
        return StatusReport(
            member_id=reply.member_id,
            view_version=reply.view_version,
            configuration_revision=reply.configuration_revision,
            store_available=reply.store_available,
            services=reply.services,
            members=tuple(member_from_message(node) for node in reply.nodes),
        )

    def watch_services(self, *, after_revision: int = 0) -> Iterator[ServiceUpdate]:
        """Streams the services in force, then each update.

        Args:
            after_revision: Updates up to this revision are omitted.

        Yields:
            Each update, until the balancer stops.
        """
        request = pb.WatchServicesRequest(after_revision=after_revision)
        call = self._stub.WatchServices(request, metadata=self._metadata)
        try:
            for event in call:
                if not event.caught_up:
                    yield ServiceUpdate(
                        service_from_reply(event.service), event.deleted
                    )
        except grpc.RpcError as error:
            raise _call_error_from(error, ErrorKind.PEER_UNREACHABLE) from error
        finally:
            call.cancel()

    def _change(
        self, method: Callable[..., Any], make_request: Callable[[], Any]
    ) -> AcceptedChange:
        request = _build_request(make_request)
        self._check_reachable()
        try:
            reply = method(
                request, timeout=self._settings.timeout, metadata=self._metadata
            )
        except grpc.RpcError as error:
            # Without an error kind from the server, the change may have taken effect.
            raise _call_error_from(
                error, ErrorKind.OUTCOME_UNKNOWN, request.change_id
            ) from error
        service = (
            service_from_reply(reply.service) if reply.HasField("service") else None
        )
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
            raise _call_error_from(error, ErrorKind.PEER_UNREACHABLE) from error

    def _check_reachable(self) -> None:
        # Sent before each change, to distinguish an unreachable balancer or an
        # untrusted certificate from a response that was lost.
        request = pb.ListServicesRequest(service_id=NONEXISTENT_SERVICE_ID)
        self._read(
            self._stub.ListServices, request, timeout=self._settings.reach_timeout
        )


def _build_request(make_request: Callable[[], Any]) -> Any:
    try:
        request = make_request()
    except (TypeError, ValueError) as error:
        # A number is out of the range of its type in the schema, or a value has the
        # wrong type.
        raise OperatorsCallError(ErrorKind.INVALID_ARGUMENT, str(error)) from error
    if request.ByteSize() > MAX_REQUEST_BYTES:
        raise OperatorsCallError(
            ErrorKind.TOO_LARGE, f"request of {request.ByteSize()} bytes"
        )
    return request


def _call_error_from(
    error: Any, default_kind: ErrorKind, change_id: str = ""
) -> OperatorsCallError:
    trailing = dict(error.trailing_metadata() or ())
    try:
        kind = ErrorKind(trailing.get(ERROR_KIND_KEY, default_kind))
    except ValueError:
        kind = default_kind
    revision = str(trailing.get(CURRENT_REVISION_KEY, "0"))
    return OperatorsCallError(
        kind,
        error.details() or error.code().name,
        change_id=change_id,
        current_revision=int(revision) if revision.isdecimal() else 0,
    )
