"""Decisions under load, without any I/O."""

from __future__ import annotations
