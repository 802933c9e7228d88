"""The demo: two example deployments in one process."""

from __future__ import annotations
