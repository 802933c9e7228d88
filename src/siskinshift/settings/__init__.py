"""Settings of a process, read from INI."""

from __future__ import annotations
