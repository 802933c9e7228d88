"""Tests of control messages."""

from __future__ import annotations
