"""Flows that are transport connections, forwarded end to end and never terminated.

The system tracks where a flow begins, which upstream owns it and when it ends, and does
not read its payload.
"""

from __future__ import annotations
