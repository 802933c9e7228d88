"""Generates code from the schema.

Generates the attrs classes of messages and settings and the settings page from
schema/*.toml, and the classes of the operators' API from schema/operators.proto.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any


ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema"
PACKAGE = ROOT / "src" / "siskinshift"
API_PATH = "siskinshift/api/generated"
SCALARS = {"str", "int", "float", "bool", "bytes"}
PYTHON_TYPES_BY_OPTION_TYPE = {
    "str": "str",
    "int": "int",
    "float": "float",
    "choice": "str",
    "secret": "Secret",
    "secrets": "tuple[Secret, ...]",
    "endpoint": "Endpoint",
    "endpoints": "tuple[Endpoint, ...]",
}


def _message_python_type(type_name: str) -> str:
    if type_name.startswith("list["):
        return f"tuple[{type_name[5:-1]}, ...]"
    return type_name


def _element_type(type_name: str) -> str:
    inner = type_name.removeprefix("list[").removesuffix("]")
    return inner.removesuffix(" | None")


def _default_text(field: dict[str, Any]) -> str:
    if "default" not in field and field["type"].endswith("| None"):
        return " = None"
    if "default" not in field:
        return ""
    default = field["default"]
    if isinstance(default, list):
        return " = ()"
    enum_type = field["type"]
    if isinstance(default, str) and enum_type not in SCALARS:
        return f" = {enum_type}.{default.upper()}"
    return f" = {default!r}"


def _enum_lines(name: str, enum: dict[str, Any]) -> list[str]:
    lines = [f"class {name}(StrEnum):", f'    """{enum["doc"]}"""', ""]
    lines += [f'    {value.upper()} = "{value}"' for value in enum["values"]]
    return [*lines, "", ""]


def _message_lines(name: str, message: dict[str, Any]) -> list[str]:
    fields = message.get("fields", {})
    lines = ["@frozen", f"class {name}:", f'    """{message["doc"]}']
    if fields:
        lines += ["", "    Attributes:"]
    lines += [f"        {key}: {field['doc']}" for key, field in fields.items()]
    lines += ['    """', ""]
    for key, field in fields.items():
        python_type = _message_python_type(field["type"])
        lines.append(f"    {key}: {python_type}{_default_text(field)}")
    return [*lines, "", ""]


def _messages_module(path: Path, module_by_type: dict[str, str]) -> str:
    schema = tomllib.loads(path.read_text())
    enums = schema.get("enum", {})
    messages = schema.get("message", {})
    needed: set[str] = set()
    for message in messages.values():
        for field in message.get("fields", {}).values():
            needed.add(_element_type(field["type"]))
    imported = sorted(
        name
        for name in needed - SCALARS
        if module_by_type.get(name, path.stem) != path.stem
    )
    lines = [f'"""Messages of schema/messages/{path.name}; generated, do not edit."""']
    lines += ["", "from __future__ import annotations", ""]
    lines += ["from enum import StrEnum", ""] if enums else []
    lines += ["from attrs import frozen", ""] if messages else []
    for name in imported:
        lines.append(f"from siskinshift.messages.{module_by_type[name]} import {name}")
    lines += ["", ""]
    for name, enum in enums.items():
        lines += _enum_lines(name, enum)
    for name, message in messages.items():
        lines += _message_lines(name, message)
    return "\n".join(lines).rstrip() + "\n"


def _settings_module(path: Path) -> str:
    sections = tomllib.loads(path.read_text())["section"]
    lines = ['"""Settings of schema/settings.toml; generated, do not edit."""', ""]
    lines += ["from __future__ import annotations", "", "from attrs import frozen", ""]
    lines += ["from siskinshift.messages.core import Endpoint"]
    lines += ["from siskinshift.settings.options import Option"]
    lines += ["from siskinshift.settings.options import Secret"]
    lines += ["from siskinshift.settings.options import Section", "", ""]
    for name, section in sections.items():
        lines += ["@frozen", f"class {name.capitalize()}Settings:"]
        lines += [f'    """{section["doc"]}', "", "    Attributes:"]
        for key, option in section["options"].items():
            unit = f" In {option['unit']}." if "unit" in option else ""
            lines.append(f"        {key}: {option['doc']}{unit}")
        lines += ['    """', ""]
        for key, option in section["options"].items():
            lines.append(f"    {key}: {PYTHON_TYPES_BY_OPTION_TYPE[option['type']]}")
        lines += ["", ""]
    lines += ["@frozen", "class Settings:"]
    lines += ['    """All settings of a process.', "", "    Attributes:"]
    shared = [name for name in sections if not sections[name].get("standalone")]
    lines += [f"        {name}: {sections[name]['doc']}" for name in shared]
    lines += ['    """', ""]
    lines += [f"    {name}: {name.capitalize()}Settings" for name in shared]
    lines += ["", "", "SECTIONS: tuple[Section, ...] = ("]
    for name, section in sections.items():
        lines += [f"    Section(name={name!r}, doc={section['doc']!r},"]
        lines += [f"        settings_class={name.capitalize()}Settings,"]
        lines += [f"        standalone={section.get('standalone', False)},"]
        lines += ["options=("]
        for key, option in section["options"].items():
            lines.append(f"        Option(name={key!r},")
            lines += [f"            {k}={_literal(v)}," for k, v in option.items()]
            lines.append("        ),")
        lines.append("    ),),")
    return "\n".join([*lines, ")"]) + "\n"


def _settings_page(path: Path) -> str:
    sections = tomllib.loads(path.read_text())["section"]
    lines = ["# Settings", "", "Generated from schema/settings.toml; do not edit.", ""]
    lines += [
        "`siskinshift check FILE` checks a file and reports each invalid setting.",
        "",
    ]
    for name, section in sections.items():
        lines += [f"## [{name}]", "", section["doc"], ""]
        lines += ["| Key | Type | Unit | Allowed | Default | Meaning |"]
        lines += ["| --- | --- | --- | --- | --- | --- |"]
        for key, option in section["options"].items():
            default = option.get("default", "required")
            cells = [f"`{key}`", option["type"], option.get("unit", "")]
            cells += [_allowed_text(option), f"`{default}`" if default != "" else ""]
            lines.append(f"| {' | '.join([*cells, option['doc']])} |")
        lines.append("")
    return "\n".join(lines)


def _allowed_text(option: dict[str, Any]) -> str:
    if "choices" in option:
        return ", ".join(option["choices"])
    if "minimum" in option:
        return f"{option['minimum']} to {option['maximum']}"
    return ""


def _literal(value: object) -> str:
    if isinstance(value, list):
        return repr(tuple(value))
    return repr(value)


def _formatted(text: str, path: Path) -> str:
    command = [sys.executable, "-m", "ruff"]
    name = ["--stdin-filename", str(path), "-"]
    fixed = subprocess.run(
        [*command, "check", "--fix", "--quiet", "--exit-zero", *name],
        input=text,
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    ).stdout
    return subprocess.run(
        [*command, "format", "--quiet", *name],
        input=fixed,
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    ).stdout


def _module_by_type(paths: list[Path]) -> dict[str, str]:
    modules: dict[str, str] = {}
    for path in paths:
        schema = tomllib.loads(path.read_text())
        for kind in ("enum", "message"):
            modules.update(dict.fromkeys(schema.get(kind, {}), path.stem))
    return modules


def _api_modules() -> dict[Path, str]:
    # Maps the schema to the package's path, so that the generated modules import each
    # other by absolute names.
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(
            [
                sys.executable,
                "-m",
                "grpc_tools.protoc",
                f"-I{API_PATH}={SCHEMA}",
                f"--python_out={folder}",
                f"--pyi_out={folder}",
                f"--grpc_python_out={folder}",
                f"{API_PATH}/operators.proto",
            ],
            check=True,
            cwd=ROOT,
        )
        target = PACKAGE.parent
        return {
            target / path.relative_to(folder): path.read_text()
            for path in sorted(Path(folder).rglob("*.py*"))
        }


def generated_files() -> dict[Path, str]:
    """Generates all files.

    Returns:
        Text of each generated file by path.
    """
    paths = sorted((SCHEMA / "messages").glob("*.toml"))
    modules = _module_by_type(paths)
    texts: dict[Path, str] = {}
    for path in paths:
        target = PACKAGE / "messages" / f"{path.stem}.py"
        texts[target] = _messages_module(path, modules)
    texts[PACKAGE / "settings" / "generated.py"] = _settings_module(
        SCHEMA / "settings.toml"
    )
    formatted = {path: _formatted(text, path) for path, text in texts.items()}
    formatted[ROOT / "docs" / "settings.md"] = _settings_page(SCHEMA / "settings.toml")
    return formatted | _api_modules()


def main() -> int:
    """Writes the generated files, or compares them under --check.

    Returns:
        1 if a file on disk is outdated under --check, else 0.
    """
    check = "--check" in sys.argv[1:]
    texts = generated_files()
    stale = [
        path
        for path, text in texts.items()
        if not path.exists() or path.read_text() != text
    ]
    if check:
        for path in stale:
            print(f"outdated: {path.relative_to(ROOT)}; run `make generate`")
        return 1 if stale else 0
    for path, text in texts.items():
        path.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
