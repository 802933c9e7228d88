"""The agent process that runs on the instance of an upstream."""

from __future__ import annotations
