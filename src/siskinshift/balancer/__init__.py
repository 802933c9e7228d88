"""The balancer process."""

from __future__ import annotations
