"""A small deployment on this machine, for the tutorial: no service yet."""

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
METRICS_PORT_FIRST = 9464
PLAN = ServicePlan("editor", 2, 1, ServiceMode.REQUEST)
GROUPS = ("treasurers", "volunteers")


class TrialDeployment(Deployment):
    """One balancer with the operators' API, two agents with upstreams.

    The folder takes what operator and callers need: client.ini, the certificate, a
    token for each group.
    """

    def __init__(self, folder: Path) -> None:
        """Prepares the deployment.

        Args:
            folder: Where to write; made when it is not there.
        """
        super().__init__(
            name="trial",
            plans=(PLAN,),
            balancers=1,
            addresses_by_service={PLAN.service_id: SERVICE_ADDRESS},
        )
        self._folder = folder
        self._operator_token = secrets.token_hex(16)
        self._metrics_port = METRICS_PORT_FIRST
        self.metrics_endpoints: list[Endpoint] = []

    def start(self) -> None:
        """Writes the folder and starts everything."""
        self._folder.mkdir(parents=True, exist_ok=True)
        authority = self._folder / "authority.pem"
        shutil.copy(self.certificate_path, authority)
        (self._folder / "client.ini").write_text(
            f"[client]\nendpoint = {format_endpoint(API_ENDPOINT)}\n"
            f"token = {self._operator_token}\nauthority_file = {authority.resolve()}\n"
        )
        for group_id in GROUPS:
            path = self._folder / f"{group_id}.token"
            path.write_text(f"{secrets.token_hex(16)}\n")
        super().start()

    def write_configuration(self) -> None:
        """Leaves the configuration to the operator."""

    def balancer_settings_lines(self) -> list[str]:
        """Gives the operators' API and metrics to the balancer."""
        return [
            "[api]",
            f"endpoints = {format_endpoint(API_ENDPOINT)}",
            f"certificate_file = {self.certificate_path}",
            f"private_key_file = {self.private_key_path}",
            f"operator_tokens = {self._operator_token}",
            *self._metrics_lines(),
        ]

    def agent_settings_lines(self) -> list[str]:
        """Gives metrics to the agents."""
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
