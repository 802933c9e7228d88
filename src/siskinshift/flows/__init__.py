"""Ownership of flows and their handover between agents."""

from __future__ import annotations
