"""The demo: both deployments of the users in one process."""

from __future__ import annotations
