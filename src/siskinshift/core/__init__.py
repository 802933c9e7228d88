"""Types and errors shared by all packages."""

from __future__ import annotations
