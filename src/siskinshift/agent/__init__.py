"""The agent process beside an upstream."""

from __future__ import annotations
