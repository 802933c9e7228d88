"""Flows that are transport connections, carried end to end and never terminated.

The system sees where such a flow begins, who answered it and when it ends, and
reads nothing of what it carries.
"""

from __future__ import annotations
