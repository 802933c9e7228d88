"""Starts a balancer that serves the operators' API, and creates clients for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.api.client import ClientSettings
from siskinshift.api.client import OperatorsClient
from siskinshift.balancer.application import BalancerApplication
from siskinshift.core.endpoints import format_endpoint
from siskinshift.demo.certificates import write_certificate
from siskinshift.messages.core import Endpoint
from siskinshift.settings.options import Secret
from siskinshift.standins.kv import KvStandIn
from tests.kv.fakes import make_settings


if TYPE_CHECKING:
    from pathlib import Path


LOOPBACK = "127.0.0.1"
# The stand-in replies within 1 ms, and within 0.3 s on a host with 25 to 30 busy
# processes.
STORE_TIMEOUT_SECONDS = 3.0
OPERATOR_TOKEN = "operator-token-0001"
VIEWER_TOKEN = "viewer-token-000001"


class ApiDeployment:
    """A balancer with a stand-in for the key-value service."""

    def __init__(self, folder: Path, extra: str = "") -> None:
        certificate_path, key_path = write_certificate(folder)
        self.certificate = certificate_path.read_bytes()
        self.kv = KvStandIn(Endpoint(LOOPBACK, 0))
        self.kv.start()
        settings = make_settings(
            f"""
[kv]
endpoints = {format_endpoint(self.kv.endpoint)}
timeout = {STORE_TIMEOUT_SECONDS}
{extra}
[api]
endpoints = {LOOPBACK}:0
certificate_file = {certificate_path}
private_key_file = {key_path}
operator_tokens = {OPERATOR_TOKEN}
viewer_tokens = {VIEWER_TOKEN}
watchers = 2
"""
        )
        self.balancer = BalancerApplication(settings)
        self.balancer.start()

    def client(self, token: str = OPERATOR_TOKEN) -> OperatorsClient:
        endpoint = Endpoint(LOOPBACK, self.balancer.operators_ports[0])
        settings = ClientSettings(
            endpoint,
            Secret(token),
            self.certificate,
            # The default of 3 s was exceeded on a host with many busy processes.
            reach_timeout=20.0,
        )
        return OperatorsClient(settings)

    def stop(self) -> None:
        self.balancer.stop()
        self.kv.stop()
