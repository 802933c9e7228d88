"""Tests of outlier detection."""

from __future__ import annotations
