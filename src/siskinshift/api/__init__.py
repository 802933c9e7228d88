"""The operators' gRPC API."""

from __future__ import annotations
