"""Service-level objectives and how fast their budgets burn."""

from __future__ import annotations
