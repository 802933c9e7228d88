"""First module of the binary: loads extension modules out of the archive.

The C library loads shared objects from files only. Each one is therefore written
into an anonymous memory file (memfd) of this process; nothing reaches a disk and
no other process can see it. The descriptors stay open: the loader knows libraries by
path, and a number used again would give it the wrong one.
"""

from __future__ import annotations

import _frozen_importlib_external as external
import marshal
import os
import sys
import zipimport

import _siskinshift_launcher


# Only built-in and frozen modules may be imported here: others are compressed, and
# zlib is an extension module itself. Type checkers know the name.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from importlib.machinery import ModuleSpec
    from types import ModuleType


ARCHIVE = sys.path[0]
INDEX_ENTRY = "siskinshift_extensions.bin"


class MemoryExtensionFinder:
    """Finds extension modules that the archive holds."""

    def __init__(self) -> None:
        self._importer = zipimport.zipimporter(ARCHIVE)
        index = marshal.loads(self._importer.get_data(INDEX_ENTRY))
        self._entries_by_module: dict[str, str] = index["modules"]
        self._libraries_by_module: dict[str, list[str]] = index["libraries"]
        self._loaded_libraries: set[str] = set()

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None = None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Finds one module.

        Args:
            fullname: Dotted name of the module.
            path: Unused; the index knows full names.
            target: Unused.

        Returns:
            Its spec, or None when it is no extension module of the archive.
        """
        entry = self._entries_by_module.get(fullname)
        if entry is None:
            return None
        for library in self._libraries_by_module.get(entry, ()):
            self._load_library(library)
        file_path = self._memory_file(entry)
        loader = external.ExtensionFileLoader(fullname, file_path)
        return external.spec_from_file_location(fullname, file_path, loader=loader)

    def _load_library(self, entry: str) -> None:
        if entry in self._loaded_libraries:
            return
        self._loaded_libraries.add(entry)
        _siskinshift_launcher.load_library(self._memory_file(entry))

    def _memory_file(self, entry: str) -> str:
        descriptor = os.memfd_create(os.path.basename(entry), os.MFD_CLOEXEC)
        data = memoryview(self._importer.get_data(entry))
        while data:
            data = data[os.write(descriptor, data) :]
        return f"/proc/self/fd/{descriptor}"


def start() -> None:
    """Installs the finder and runs the command line."""
    sys.meta_path.insert(0, MemoryExtensionFinder())
    from siskinshift.console.application import main

    main()
