"""Stand-ins of the review's scripts: backends, clients, routers and a deployment."""

from __future__ import annotations
