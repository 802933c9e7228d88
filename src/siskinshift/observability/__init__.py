"""Logging and metrics of a process."""

from __future__ import annotations
