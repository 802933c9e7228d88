"""Tests of the choice of an agent."""

from __future__ import annotations
