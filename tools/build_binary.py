"""Builds dist/siskinshift: interpreter, libraries and package in one file.

Requires gcc and the static library of the running Python (libpython3.x.a).
"""

from __future__ import annotations

import importlib._bootstrap_external
import importlib.metadata
import marshal
import re
import subprocess
import sys
import sysconfig
import tomllib
import zipfile
from pathlib import Path
from pathlib import PurePosixPath

from attrs import Factory
from attrs import define


ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "siskinshift"
LAUNCHER = ROOT / "tools" / "binary" / "launcher.c"
BOOTSTRAP = ROOT / "tools" / "binary" / "siskinshift_bootstrap.py"
INDEX_ENTRY = "siskinshift_extensions.bin"
# A fixed time makes the build reproducible.
ENTRY_TIME = (2020, 1, 1, 0, 0, 0)
# Libraries that each system provides; all others are bundled.
SYSTEM_LIBRARIES: tuple[str, ...] = (
    *("linux-vdso", "ld-linux", "libc.", "libm.", "libdl.", "libpthread."),
    *("libutil.", "librt.", "libpython"),
)
EXCLUDED_FOLDERS = frozenset(
    {"test", "tests", "idlelib", "tkinter", "ensurepip", "lib2to3", "turtledemo"}
    | {"site-packages", "lib-dynload", "__pycache__", "distutils", "pydoc_data"}
)
# Extensions of the standard library that the package doesn't use.
EXCLUDED_EXTENSIONS: tuple[str, ...] = (
    *("_test", "_xx", "xx", "_tkinter", "_curses", "_dbm", "_gdbm"),
    *("readline", "_sqlite3", "nis", "ossaudiodev", "_crypt"),
)
# Stored uncompressed, because the interpreter reads them before it loads zlib.
STORED_PREFIXES: tuple[str, ...] = (
    *("encodings/", "zlib", "__future__", "siskinshift_bootstrap"),
    *("siskinshift_libraries/libz", INDEX_ENTRY),
)


@define
class Archive:
    """Entries of the archive and the index of its extension modules.

    Attributes:
        data_by_entry: Content by path in the archive.
        entries_by_module: Path of each extension module by dotted name.
        libraries_by_entry: Paths of the libraries that each extension needs.
    """

    data_by_entry: dict[str, bytes] = Factory(dict)
    entries_by_module: dict[str, str] = Factory(dict)
    libraries_by_entry: dict[str, list[str]] = Factory(dict)

    def add_tree(self, folder: Path, prefix: str = "") -> None:
        """Adds a folder of modules and their data.

        Args:
            folder: The folder.
            prefix: Path of its content in the archive; ends with "/" or is empty.
        """
        for path in sorted(folder.rglob("*")):
            relative = path.relative_to(folder)
            if path.is_file() and not EXCLUDED_FOLDERS & set(relative.parts):
                self.add_file(path, prefix + relative.as_posix())

    def add_file(self, path: Path, entry: str) -> None:
        """Adds a file; Python sources are compiled.

        Args:
            path: The file.
            entry: Path in the archive.
        """
        if path.suffix == ".py":
            self.data_by_entry[entry + "c"] = _compile_source(path, entry)
        elif path.suffix == ".so":
            self._add_extension(path, entry)
        elif path.suffix not in (".pyc", ".pyi", ".pyx", ".c", ".h", ".a"):
            self.data_by_entry[entry] = path.read_bytes()

    def _add_extension(self, path: Path, entry: str) -> None:
        name = path.name.partition(".")[0]
        folder = entry.rpartition("/")[0].replace("/", ".")
        self.entries_by_module[f"{folder}.{name}" if folder else name] = entry
        self.data_by_entry[entry] = path.read_bytes()
        needed = [self._add_library(library) for library in _needed_libraries(path)]
        if needed:
            self.libraries_by_entry[entry] = needed

    def _add_library(self, path: Path) -> str:
        entry = f"siskinshift_libraries/{path.name}"
        self.data_by_entry[entry] = path.read_bytes()
        return entry

    def write(self, path: Path) -> None:
        """Writes the archive.

        Args:
            path: Path of the archive.
        """
        index = {
            "modules": self.entries_by_module,
            "libraries": self.libraries_by_entry,
        }
        self.data_by_entry[INDEX_ENTRY] = marshal.dumps(index)
        with zipfile.ZipFile(path, "w") as archive:
            # Folders without an entry are not imported as namespace packages.
            for folder in sorted(self._folders()):
                archive.writestr(zipfile.ZipInfo(f"{folder}/", ENTRY_TIME), b"")
            for entry, data in sorted(self.data_by_entry.items()):
                info = zipfile.ZipInfo(entry, ENTRY_TIME)
                info.compress_type = _compression(entry)
                archive.writestr(info, data, compresslevel=6)

    def _folders(self) -> set[str]:
        return {
            parent.as_posix()
            for entry in self.data_by_entry
            for parent in PurePosixPath(entry).parents
            if parent.name
        }


def _compression(entry: str) -> int:
    is_stored = entry.startswith(STORED_PREFIXES)
    return zipfile.ZIP_STORED if is_stored else zipfile.ZIP_DEFLATED


def _compile_source(path: Path, entry: str) -> bytes:
    code = compile(path.read_bytes(), entry, "exec", dont_inherit=True, optimize=0)
    data = importlib._bootstrap_external._code_to_hash_pyc(  # type: ignore[attr-defined]
        code, b"\0" * 8, checked=False
    )
    return bytes(data)


def _needed_libraries(path: Path) -> list[Path]:
    listing = subprocess.run(
        ["ldd", str(path)], capture_output=True, text=True, check=True
    ).stdout
    libraries = [Path(path_text) for path_text in re.findall(r"=> (/\S+)", listing)]
    bundled = [
        library
        for library in libraries
        if not library.name.startswith(SYSTEM_LIBRARIES)
    ]
    # A library must be loaded after its dependencies; ldd lists them in reverse order.
    return bundled[::-1]


def _requirement_name(requirement: str) -> str:
    return re.split(r"[\s;\[<>=!~(]", requirement, maxsplit=1)[0].lower()


def _needed_distributions() -> list[importlib.metadata.Distribution]:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    pending = [
        _requirement_name(requirement) for requirement in project["dependencies"]
    ]
    distributions_by_name: dict[str, importlib.metadata.Distribution] = {}
    while pending:
        name = pending.pop().replace("_", "-")
        if name in distributions_by_name:
            continue
        try:
            distributions_by_name[name] = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            continue  # An optional extra or a requirement of other systems.
        for requirement in distributions_by_name[name].requires or ():
            if "extra ==" not in requirement:
                pending.append(_requirement_name(requirement))
    return [distributions_by_name[name] for name in sorted(distributions_by_name)]


def _add_distributions(archive: Archive) -> None:
    for distribution in _needed_distributions():
        for file in distribution.files or ():
            path = Path(str(file.locate()))
            is_inside = not file.as_posix().startswith("..")
            if is_inside and path.is_file() and not EXCLUDED_FOLDERS & set(file.parts):
                archive.add_file(path, file.as_posix())


def _compile_launcher(output: Path) -> None:
    variables = sysconfig.get_config_vars()
    library = Path(variables["LIBPL"]) / f"libpython{variables['LDVERSION']}.a"
    if not library.exists():
        sys.exit(f"{library.name} not found: install Python with its static library")
    command = ["gcc", "-O2", "-s", "-no-pie", f"-I{sysconfig.get_path('include')}"]
    command += [str(LAUNCHER), str(library), "-Wl,--export-dynamic"]
    command += ["-lm", "-ldl", "-lpthread", "-lutil", "-o", str(output)]
    subprocess.run(command, check=True)


def main() -> None:
    """Builds the binary and prints its size."""
    OUTPUT.parent.mkdir(exist_ok=True)
    archive = Archive()
    standard_library = Path(sysconfig.get_path("stdlib"))
    archive.add_tree(standard_library)
    for path in sorted((standard_library / "lib-dynload").glob("*.so")):
        if not path.name.startswith(EXCLUDED_EXTENSIONS):
            archive.add_file(path, path.name)
    _add_distributions(archive)
    archive.add_tree(ROOT / "src")
    archive.add_file(BOOTSTRAP, BOOTSTRAP.name)
    zip_path = OUTPUT.with_suffix(".zip")
    archive.write(zip_path)
    _compile_launcher(OUTPUT)
    with OUTPUT.open("ab") as binary:
        binary.write(zip_path.read_bytes())
    zip_path.unlink()
    print(f"{OUTPUT.relative_to(ROOT)}: {OUTPUT.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
