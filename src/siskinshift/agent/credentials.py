"""Authenticates requests and assigns them to groups by bearer token."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from siskinshift.agent.exceptions import UnknownCredentialError


if TYPE_CHECKING:
    from siskinshift.messages.core import Service


BEARER_PREFIX = "bearer "


def find_group_id(service: Service, authorization: str) -> str:
    """Finds the group of a request by its bearer token.

    Args:
        service: Service of the request.
        authorization: Value of the Authorization header, or empty.

    Returns:
        The group's id; empty when the service has no groups.

    Raises:
        UnknownCredentialError: No group of the service has this credential.
    """
    if not service.groups:
        return ""
    if authorization.lower().startswith(BEARER_PREFIX):
        token = authorization[len(BEARER_PREFIX) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
    else:
        # A group without a credential accepts callers without a token.
        digest = ""
    for group in service.groups:
        if hmac.compare_digest(group.credential_sha256.lower(), digest):
            return group.group_id
    raise UnknownCredentialError(service.service_id)
