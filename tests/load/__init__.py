"""Tests of the decisions under load."""

from __future__ import annotations
