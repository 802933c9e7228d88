"""gRPC server of the operators' API.

Imported only when the API is enabled, because it loads the gRPC library.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import grpc

from siskinshift.api.generated.operators_pb2_grpc import add_OperatorsServicer_to_server
from siskinshift.api.protocol import MAX_REQUEST_BYTES
from siskinshift.core.endpoints import format_endpoint
from siskinshift.settings.exceptions import SettingsError


if TYPE_CHECKING:
    from siskinshift.api.service import OperatorsService
    from siskinshift.settings.generated import ApiSettings


# Threads for all calls but watches; few operators use the API at once.
UNARY_CALL_THREADS = 8
STOP_GRACE_SECONDS = 2.0


class OperatorsServer:
    """Serves the operators' API over TLS.

    Attributes:
        ports: Ports that it listens on, in the order of the endpoints in the settings.
    """

    def __init__(self, settings: ApiSettings, service: OperatorsService) -> None:
        """Creates the server and binds its endpoints.

        Args:
            settings: Endpoints, certificate, key and tokens.
            service: Handlers of the calls.

        Raises:
            SettingsError: The certificate, the key or the tokens are missing, or an
                endpoint can't be bound.
        """
        self._service = service
        self._executor = ThreadPoolExecutor(
            UNARY_CALL_THREADS + settings.watchers, thread_name_prefix="operators-api"
        )
        options = [
            ("grpc.max_receive_message_length", MAX_REQUEST_BYTES),
            # With SO_REUSEPORT, a second process could bind the same port, and
            # connections would be distributed over both.
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
        """Starts serving calls."""
        self._server.start()

    def stop(self) -> None:
        """Stops accepting calls and ends those in progress after a grace period."""
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


def _read_file(option: str, path: str) -> bytes:
    if not path:
        raise SettingsError((f"[api] {option}: required with endpoints",))
    try:
        return Path(path).read_bytes()
    except OSError as error:
        problem = f"[api] {option} = {path!r}: can't be read: {error.strerror}"
        raise SettingsError((problem,)) from error
