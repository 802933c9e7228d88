"""Stand-ins for the platform and for upstreams, for tests and the demo."""

from __future__ import annotations
