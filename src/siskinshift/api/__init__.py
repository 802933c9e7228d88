"""gRPC API for operators: server, typed client and message conversion."""

from __future__ import annotations
