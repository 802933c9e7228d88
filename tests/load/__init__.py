"""Tests of request scheduling under load."""

from __future__ import annotations
