"""Adapter to the users' platform: its names, formats and requests, without policy."""

from __future__ import annotations
