"""gRPC server of the operators' API; imported only where the API is served."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import grpc

from siskinshift.api.generated.operators_pb2_grpc import add_OperatorsServicer_to_server
from siskinshift.api.protocol import REQUEST_SIZE_MAXIMUM
from siskinshift.core.endpoints import format_endpoint
from siskinshift.settings.exceptions import SettingsError


if TYPE_CHECKING:
    from siskinshift.api.service import OperatorsService
    from siskinshift.settings.generated import ApiSettings


# Threads for calls that end by themselves; operators are few.
CALL_THREADS = 8
STOP_GRACE_SECONDS = 2.0


class OperatorsServer:
    """Serves the API over TLS.

    Attributes:
        ports: Ports it listens on, in the order of the settings' endpoints.
    """

    def __init__(self, settings: ApiSettings, service: OperatorsService) -> None:
        """Binds the server.

        Args:
            settings: Endpoints, certificate, tokens.
            service: Answers the calls.

        Raises:
            SettingsError: Certificate, key or tokens are missing, or an endpoint
                can't be bound.
        """
        self._service = service
        self._executor = ThreadPoolExecutor(
            CALL_THREADS + settings.watchers, thread_name_prefix="operators-api"
        )
        options = [
            ("grpc.max_receive_message_length", REQUEST_SIZE_MAXIMUM),
            # Two processes on one port would take turns at answering.
            ("grpc.so_reuseport", 0),
        ]
        credentials = _credentials(settings)
        self._server: Any = grpc.server(self._executor, options=options)
        add_OperatorsServicer_to_server(service, self._server)
        self.ports = [
            self._bind(format_endpoint(endpoint), credentials)
            for endpoint in settings.endpoints
        ]

    def start(self) -> None:
        """Starts to answer."""
        self._server.start()

    def stop(self) -> None:
        """Lets calls under way end, then stops."""
        self._service.stop()
        self._server.stop(STOP_GRACE_SECONDS).wait()
        self._executor.shutdown(wait=True)

    def _bind(self, address: str, credentials: Any) -> int:
        try:
            return int(self._server.add_secure_port(address, credentials))
        except RuntimeError as error:
            problem = f"[api] endpoints: {address} can't be bound"
            raise SettingsError((problem,)) from error


def _credentials(settings: ApiSettings) -> Any:
    if not settings.operator_tokens:
        raise SettingsError(("[api] operator_tokens: required with endpoints",))
    key = _read_file("private_key_file", settings.private_key_file)
    certificate = _read_file("certificate_file", settings.certificate_file)
    return grpc.ssl_server_credentials([(key, certificate)])


def _read_file(option: str, name: str) -> bytes:
    if not name:
        raise SettingsError((f"[api] {option}: required with endpoints",))
    try:
        return Path(name).read_bytes()
    except OSError as error:
        problem = f"[api] {option} = {name!r}: can't be read: {error.strerror}"
        raise SettingsError((problem,)) from error
