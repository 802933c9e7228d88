"""Tests of the package siskinshift.agent."""

from __future__ import annotations
