"""What client and server of the operators' API agree on besides the schema."""

from __future__ import annotations


AUTHORIZATION_KEY = "authorization"
BEARER_PREFIX = "Bearer "
ERROR_KIND_KEY = "siskinshift-error-kind"
CURRENT_REVISION_KEY = "siskinshift-current-revision"

# Well above the greatest record, so that one that is too large is refused by its kind
# and not cut off by the library, which would leave the client with "unknown".
REQUEST_SIZE_MAXIMUM = 2 << 20
