"""Replaces attrs classes by generated code in a copy of the package, for the nodes.

`attrs` generates and compiles the methods of each class whenever a process starts and
imports a third of the standard library for it: 0.07 of the 0.18 s of processor time
that a node's start takes besides the interpreter's own. On a fifth of a core, callers
wait four times as long for it. This tool generates the same methods at build time, so
that a node imports neither `attrs` nor `inspect`.

Supports only what the nodes use: `define`, `define(eq=False)`, `frozen`, `Factory`,
`evolve` and a hook after construction. Anything else fails the build. Instances of the
generated frozen classes are mutable; the tests check that none is changed, since they
run with the classes of `attrs`.
"""

from __future__ import annotations

import ast
import os
import subprocess
import sys
from pathlib import Path

from attrs import define
from attrs import frozen


PACKAGE = "siskinshift"
# Lists the modules that agent and balancer nodes import; only these are compiled.
LIST_MODULES = """
import sys
import siskinshift.connections.run
import siskinshift.connections.balancer_node
import siskinshift.connections.agent_node
print("\\n".join(name for name in sys.modules if name.startswith("siskinshift")))
"""
DECORATORS = ("define", "frozen")
IMPORTED_NAMES = (*DECORATORS, "Factory")
POST_INIT = "__attrs_post_init__"
NOTHING = "_NOTHING"
EVOLVE = """
def _evolve(record, **changes):
    for name in record.__match_args__:
        changes.setdefault(name, getattr(record, name))
    return type(record)(**changes)
"""
REPRESENTATION = """
def __repr__(self):
    names = self.__match_args__
    fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in names)
    return f"{type(self).__name__}({fields})"
"""


class UnsupportedFormError(Exception):
    """A use of attrs that this tool does not support."""


@frozen
class Field:
    """A field of a record.

    Attributes:
        name: Name of the field.
        default: Source text of the default or its factory; empty for none.
        has_factory: Whether a factory creates the default for each record.
    """

    name: str
    default: str
    has_factory: bool

    @property
    def parameter(self) -> str:
        """Parameter of the constructor for the field."""
        if self.has_factory:
            return f"{self.name}={NOTHING}"
        return f"{self.name}={self.default}" if self.default else self.name

    @property
    def assignment(self) -> str:
        """Statement of the constructor that sets the field."""
        if not self.has_factory:
            return f"self.{self.name} = {self.name}"
        value = f"({self.default})() if {self.name} is {NOTHING} else {self.name}"
        return f"self.{self.name} = {value}"


@define
class Record:
    """An attrs class of a module.

    Attributes:
        name: Name of the class.
        is_frozen: Whether its instances are hashable.
        has_equality: Whether instances with equal fields are equal.
        fields: Fields in order.
        has_post_init: Whether a hook runs after the constructor.
    """

    name: str
    is_frozen: bool
    has_equality: bool
    fields: list[Field]
    has_post_init: bool

    def methods(self) -> list[ast.stmt]:
        """Generates the slots and the methods.

        Returns:
            Statements for the class body.
        """
        names = tuple(field.name for field in self.fields)
        parts = [
            f"__slots__ = {(*names, '__weakref__')!r}",
            f"__match_args__ = {names!r}",
            self._constructor(),
            REPRESENTATION,
        ]
        if self.has_equality:
            parts.append(self._equality())
            parts.append(self._hash() if self.is_frozen else "__hash__ = None")
        return ast.parse("\n".join(parts)).body

    def _constructor(self) -> str:
        parameters = ", ".join(["self", *(field.parameter for field in self.fields)])
        lines = [f"def __init__({parameters}):"]
        lines += [f"    {field.assignment}" for field in self.fields]
        if self.has_post_init:
            lines.append(f"    self.{POST_INIT}()")
        elif not self.fields:
            lines.append("    pass")
        return "\n".join(lines)

    def _equality(self) -> str:
        return (
            "def __eq__(self, other):\n"
            "    if other.__class__ is not self.__class__:\n"
            "        return NotImplemented\n"
            f"    return {self._tuple('self')} == {self._tuple('other')}"
        )

    def _hash(self) -> str:
        return f"def __hash__(self):\n    return hash({self._tuple('self')})"

    def _tuple(self, record: str) -> str:
        return "(" + "".join(f"{record}.{field.name}, " for field in self.fields) + ")"


class _RecordWriter(ast.NodeTransformer):
    """Replaces the attrs classes and the calls of attrs in a module."""

    def __init__(self) -> None:
        self.record_count = 0
        self.has_evolve_calls = False

    def visit_ClassDef(self, node: ast.ClassDef) -> ast.ClassDef:
        self.generic_visit(node)
        if not any(_decorator_name(d) in DECORATORS for d in node.decorator_list):
            return node
        record = _parse_record(node)
        self.record_count += 1
        node.decorator_list = []
        kept = [item for item in node.body if not isinstance(item, ast.AnnAssign)]
        docstring = 1 if ast.get_docstring(node, clean=False) is not None else 0
        node.body = kept[:docstring] + record.methods() + kept[docstring:]
        return node

    def visit_ImportFrom(self, node: ast.ImportFrom) -> ast.ImportFrom | None:
        if node.module != "attrs":
            return node
        for alias in node.names:
            # Other names would be missing at run time and fail a task of each node at
            # their first use.
            if alias.name not in IMPORTED_NAMES or alias.asname:
                raise UnsupportedFormError(
                    f"import of {ast.unparse(alias)} from attrs is not supported"
                )
        return None

    def visit_Import(self, node: ast.Import) -> ast.Import | None:
        node.names = [alias for alias in node.names if alias.name != "attrs"]
        return node if node.names else None

    def visit_Call(self, node: ast.Call) -> ast.Call:
        self.generic_visit(node)
        if ast.unparse(node.func) == "attrs.evolve":
            self.has_evolve_calls = True
            node.func = ast.Name("_evolve", ast.Load())
        return node


def compile_module(source: str) -> str:
    """Replaces the attrs classes of a module.

    Args:
        source: Source text of the module.

    Returns:
        New source text without comments; the same text if it does not use attrs.

    Raises:
        UnsupportedFormError: A use of attrs is not supported.
    """
    writer = _RecordWriter()
    tree = writer.visit(ast.parse(source))
    if not writer.record_count and not writer.has_evolve_calls:
        return source
    start = _after_future_imports(tree.body)
    helpers = f"{NOTHING} = object()\n" + (EVOLVE if writer.has_evolve_calls else "")
    tree.body[start:start] = ast.parse(helpers).body
    text = ast.unparse(ast.fix_missing_locations(tree))
    if "attrs." in text:
        raise UnsupportedFormError("a use of attrs was not replaced")
    return text


def _parse_record(node: ast.ClassDef) -> Record:
    if node.bases or len(node.decorator_list) != 1:
        raise UnsupportedFormError(
            f"{node.name}: bases or several decorators are not supported"
        )
    decorator = node.decorator_list[0]
    options = {}
    if isinstance(decorator, ast.Call):
        options = {str(k.arg): ast.literal_eval(k.value) for k in decorator.keywords}
    if options not in ({}, {"eq": False}):
        raise UnsupportedFormError(f"{node.name}: options {options} are not supported")
    methods = {i.name for i in node.body if isinstance(i, ast.FunctionDef)}
    return Record(
        name=node.name,
        is_frozen=_decorator_name(decorator) == "frozen",
        has_equality=not options,
        fields=[_parse_field(i) for i in node.body if isinstance(i, ast.AnnAssign)],
        has_post_init=POST_INIT in methods,
    )


def _parse_field(node: ast.AnnAssign) -> Field:
    name = ast.unparse(node.target)
    if name.startswith("_") or "ClassVar" in ast.unparse(node.annotation):
        raise UnsupportedFormError(f"field {name} is not supported")
    if node.value is None:
        return Field(name, "", has_factory=False)
    if isinstance(node.value, ast.Call) and _decorator_name(node.value) == "Factory":
        return Field(name, ast.unparse(node.value.args[0]), has_factory=True)
    return Field(name, ast.unparse(node.value), has_factory=False)


def _decorator_name(node: ast.expr) -> str:
    return ast.unparse(node.func if isinstance(node, ast.Call) else node)


def _after_future_imports(body: list[ast.stmt]) -> int:
    for index, item in enumerate(body):
        if isinstance(item, ast.ImportFrom) and item.module == "__future__":
            return index + 1
    return 0


def modules_of_nodes(folder: Path) -> list[str]:
    """Returns the modules of the package that a node imports.

    Args:
        folder: Folder that contains the package.

    Returns:
        Names of the modules.
    """
    output = subprocess.check_output(
        [sys.executable, "-c", LIST_MODULES],
        text=True,
        env={
            "PYTHONPATH": os.pathsep.join([str(folder), *sys.path]),
            # Cached bytecode of the original classes would be used for the new ones.
            "PYTHONDONTWRITEBYTECODE": "1",
        },
    )
    return output.split()


def main(arguments: list[str]) -> int:
    """Replaces the attrs classes in all modules that the nodes import, in place.

    Args:
        arguments: Folder that contains the copy of the package.

    Returns:
        Exit status.
    """
    folder = Path(arguments[0])
    for name in modules_of_nodes(folder):
        path = folder / f"{name.replace('.', '/')}.py"
        if path.exists():
            path.write_text(compile_module(path.read_text()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
