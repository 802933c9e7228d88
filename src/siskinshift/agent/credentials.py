"""Finds the group that a request belongs to."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from siskinshift.agent.exceptions import UnknownCredentialError


if TYPE_CHECKING:
    from siskinshift.messages.core import Service


BEARER_PREFIX = "bearer "


def group_of(service: Service, authorization: str) -> str:
    """Maps a bearer token to a group of the service.

    Args:
        service: The service called.
        authorization: Value of the Authorization header, or empty.

    Returns:
        The group's id; empty when the service has no groups.

    Raises:
        UnknownCredentialError: No group of the service takes the request.
    """
    if not service.groups:
        return ""
    if authorization.lower().startswith(BEARER_PREFIX):
        token = authorization[len(BEARER_PREFIX) :].strip()
        digest = hashlib.sha256(token.encode()).hexdigest()
    else:
        # A group without a credential takes callers who show none.
        digest = ""
    for group in service.groups:
        if hmac.compare_digest(group.credential_sha256.lower(), digest):
            return group.group_id
    raise UnknownCredentialError(service.service_id)
