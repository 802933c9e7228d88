"""Tests of ownership and hand-over of flows."""

from __future__ import annotations
