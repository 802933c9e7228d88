"""Tests of the built binary; `make binary` builds it and runs them."""

from __future__ import annotations
