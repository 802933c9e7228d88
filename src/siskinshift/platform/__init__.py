"""Adapter to the users' platform: its names, formats and calls; decides nothing."""

from __future__ import annotations
