"""Tests of the selection of an agent."""

from __future__ import annotations
