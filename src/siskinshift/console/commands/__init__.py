"""Command modules, one for each command or command group."""

from __future__ import annotations
