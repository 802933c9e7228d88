"""Small stand-ins for the platform and upstreams, for tests and the demo."""

from __future__ import annotations
