"""A small local deployment without services, for the tutorial."""

from __future__ import annotations

import secrets
import shutil
from typing import TYPE_CHECKING

from siskinshift.core.endpoints import format_endpoint
from siskinshift.demo.deployment import LOOPBACK
from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import ServiceMode


if TYPE_CHECKING:
    from pathlib import Path


SERVICE_ADDRESS = Endpoint(LOOPBACK, 9443)
API_ENDPOINT = Endpoint(LOOPBACK, 9444)
FIRST_METRICS_PORT = 9464
PLAN = ServicePlan("editor", 2, 1, ServiceMode.REQUEST)
GROUPS = ("treasurers", "volunteers")


class TrialDeployment(Deployment):
    """One balancer with the operators' API, and two agents with upstreams.

    It writes the files that operators and callers need to a folder: client.ini, the
    certificate, and a token for each group.
    """

    def __init__(self, folder: Path) -> None:
        """Prepares the deployment.

        Args:
            folder: Folder to write to; created if it does not exist.
        """
        super().__init__(
            name="trial",
            plans=(PLAN,),
            balancers=1,
            failure_domains=2,
            addresses_by_service={PLAN.service_id: SERVICE_ADDRESS},
        )
        self._folder = folder
        self._operator_token = secrets.token_hex(16)
        self._metrics_port = FIRST_METRICS_PORT
        self.metrics_endpoints: list[Endpoint] = []

    def start(self) -> None:
        """Writes the files and starts the deployment."""
        self._folder.mkdir(parents=True, exist_ok=True)
        authority_path = self._folder / "authority.pem"
        shutil.copy(self.certificate_path, authority_path)
        (self._folder / "client.ini").write_text(
            f"[client]\nendpoint = {format_endpoint(API_ENDPOINT)}\n"
            f"token = {self._operator_token}\n"
            f"authority_file = {authority_path.resolve()}\n"
        )
        for group_id in GROUPS:
            path = self._folder / f"{group_id}.token"
            path.write_text(f"{secrets.token_hex(16)}\n")
        super().start()

    def write_configuration(self) -> None:
        """Writes no services, as the operator creates them."""

    def balancer_settings_lines(self) -> list[str]:
        """Returns settings for the operators' API and for metrics."""
        return [
            "[api]",
            f"endpoints = {format_endpoint(API_ENDPOINT)}",
            f"certificate_file = {self.certificate_path}",
            f"private_key_file = {self.private_key_path}",
            f"operator_tokens = {self._operator_token}",
            *self._metrics_lines(),
        ]

    def agent_settings_lines(self) -> list[str]:
        """Returns settings for metrics."""
        return self._metrics_lines()

    def _metrics_lines(self) -> list[str]:
        endpoint = Endpoint(LOOPBACK, self._metrics_port)
        self._metrics_port += 1
        self.metrics_endpoints.append(endpoint)
        return [
            "[metrics]",
            "exporter = prometheus",
            f"prometheus_endpoint = {format_endpoint(endpoint)}",
        ]
