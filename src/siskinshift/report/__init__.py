"""Builds and renders reports for operators."""

from __future__ import annotations
