"""Tests of the package siskinshift.standins."""

from __future__ import annotations
