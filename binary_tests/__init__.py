"""Tests that run the built binary; `make binary` runs them."""

from __future__ import annotations
