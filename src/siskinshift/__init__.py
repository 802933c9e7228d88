"""siskinshift: a layer-4 load balancer for many small instances."""

from __future__ import annotations
