"""First module of the binary; loads extension modules from the archive.

The C library loads shared objects from files only. Each one is therefore written to an
anonymous memory file (memfd) of this process, not to a disk and not visible to other
processes. The descriptors stay open: the loader identifies libraries by path, and a
reused descriptor number would refer to the wrong library.
"""

from __future__ import annotations

import _frozen_importlib_external as external
import marshal
import os
import sys
import zipimport

import _siskinshift_launcher


# Only built-in and frozen modules can be imported here: all others are compressed, and
# zlib is itself an extension module. Type checkers treat this name as true.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from importlib.machinery import ModuleSpec
    from types import ModuleType


ARCHIVE = sys.path[0]
INDEX_ENTRY = "siskinshift_extensions.bin"


class MemoryExtensionFinder:
    """Import finder for the extension modules of the archive."""

    def __init__(self) -> None:
        self._importer = zipimport.zipimporter(ARCHIVE)
        index = marshal.loads(self._importer.get_data(INDEX_ENTRY))
        self._entries_by_module: dict[str, str] = index["modules"]
        self._libraries_by_entry: dict[str, list[str]] = index["libraries"]
        self._loaded_libraries: set[str] = set()

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None = None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Finds an extension module.

        Args:
            fullname: Dotted name of the module.
            path: Unused; the index contains full names.
            target: Unused.

        Returns:
            Its spec, or None if the archive has no such extension module.
        """
        entry = self._entries_by_module.get(fullname)
        if entry is None:
            return None
        for library in self._libraries_by_entry.get(entry, ()):
            self._load_library(library)
        file_path = self._create_memory_file(entry)
        loader = external.ExtensionFileLoader(fullname, file_path)
        return external.spec_from_file_location(fullname, file_path, loader=loader)

    def _load_library(self, entry: str) -> None:
        if entry in self._loaded_libraries:
            return
        self._loaded_libraries.add(entry)
        _siskinshift_launcher.load_library(self._create_memory_file(entry))

    def _create_memory_file(self, entry: str) -> str:
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
