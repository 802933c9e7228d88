"""A balancer with the operators' API, its certificate, and clients."""

from __future__ import annotations

import datetime
import ipaddress
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from siskinshift.api.client import ClientSettings
from siskinshift.api.client import OperatorsClient
from siskinshift.balancer.application import BalancerApplication
from siskinshift.core.endpoints import format_endpoint
from siskinshift.messages.core import Endpoint
from siskinshift.settings.options import Secret
from siskinshift.standins.kv import KvStandIn
from tests.kv.fakes import make_settings


if TYPE_CHECKING:
    from pathlib import Path


LOOPBACK = "127.0.0.1"
OPERATOR_TOKEN = "operator-token-0001"
VIEWER_TOKEN = "viewer-token-000001"
CERTIFICATE_DAYS = 7


class ApiDeployment:
    """One balancer with its key-value stand-in."""

    def __init__(self, folder: Path, extra: str = "") -> None:
        self.certificate = make_certificate(folder)
        self.kv = KvStandIn(Endpoint(LOOPBACK, 0))
        self.kv.start()
        settings = make_settings(
            f"""
[kv]
endpoints = {format_endpoint(self.kv.endpoint)}
timeout = 0.3
{extra}
[api]
endpoints = {LOOPBACK}:0
certificate_file = {folder / "certificate.pem"}
private_key_file = {folder / "key.pem"}
operator_tokens = {OPERATOR_TOKEN}
viewer_tokens = {VIEWER_TOKEN}
watchers = 2
"""
        )
        self.balancer = BalancerApplication(settings)
        self.balancer.start()

    def client(self, token: str = OPERATOR_TOKEN) -> OperatorsClient:
        endpoint = Endpoint(LOOPBACK, self.balancer.operators_ports[0])
        settings = ClientSettings(endpoint, Secret(token), self.certificate)
        return OperatorsClient(settings)

    def stop(self) -> None:
        self.balancer.stop()
        self.kv.stop()


def make_certificate(folder: Path) -> bytes:
    """Writes a certificate that signs itself, and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "operators-api")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address(LOOPBACK))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=CERTIFICATE_DAYS))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    text = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / "certificate.pem").write_bytes(text)
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return text
