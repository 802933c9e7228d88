"""Generates a self-signed certificate for the demo and tests."""

from __future__ import annotations

import datetime
import ipaddress
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


if TYPE_CHECKING:
    from pathlib import Path


VALID_DAYS = 1
CERTIFICATE_FILE = "certificate.pem"
PRIVATE_KEY_FILE = "private-key.pem"


def write_certificate(directory: Path) -> tuple[Path, Path]:
    """Writes a self-signed certificate for localhost and its key.

    Args:
        directory: Directory to write to.

    Returns:
        Paths of the certificate and the private key.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    now = datetime.datetime.now(datetime.UTC)
    alternative_names = x509.SubjectAlternativeName(
        [x509.DNSName("localhost"), x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
    )
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=VALID_DAYS))
        .not_valid_after(now + datetime.timedelta(days=VALID_DAYS))
        .add_extension(alternative_names, critical=False)
        .sign(key, hashes.SHA256())
    )
    certificate_path = directory / CERTIFICATE_FILE
    key_path = directory / PRIVATE_KEY_FILE
    encoding = serialization.Encoding.PEM
    certificate_path.write_bytes(certificate.public_bytes(encoding))
    key_path.write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return certificate_path, key_path
