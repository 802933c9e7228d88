"""Metadata keys and limits of the operators' API that its schema does not define."""

from __future__ import annotations


AUTHORIZATION_KEY = "authorization"
BEARER_PREFIX = "Bearer "
ERROR_KIND_KEY = "siskinshift-error-kind"
CURRENT_REVISION_KEY = "siskinshift-current-revision"

# Well above the largest record allowed, so that the server rejects an oversized record
# with the kind "too_large". The gRPC library would abort a larger request without an
# error kind, and the client would report the outcome as unknown.
MAX_REQUEST_BYTES = 2 << 20
