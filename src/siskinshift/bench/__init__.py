"""Benchmarks and the simulations that they share with the tests."""

from __future__ import annotations
