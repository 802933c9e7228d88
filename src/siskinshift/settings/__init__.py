"""Settings of a process, loaded from an INI file."""

from __future__ import annotations
