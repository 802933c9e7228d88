"""Service-level objectives and the burn rates of their error budgets."""

from __future__ import annotations
