"""Tracks the members of the deployment and detects failed ones."""

from __future__ import annotations
