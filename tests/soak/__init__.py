"""Randomized runs of the real programs under injected faults."""

from __future__ import annotations
