"""Ownership and hand-over of flows between agents."""

from __future__ import annotations
