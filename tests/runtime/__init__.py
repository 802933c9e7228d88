"""Tests of the package siskinshift.runtime."""

from __future__ import annotations
