"""Writes out the methods of attrs classes in a copy of the package, for the nodes.

`attrs` writes and compiles the methods of each class whenever a process starts, and
loads a third of the standard library to do so: 0.07 of the 0.18 s of processor time
that a node's start took beside the interpreter's own. On a fifth of a core callers wait
four times as long for that. Here the same methods are written once, at build time, and
neither `attrs` nor `inspect` is loaded by a node.

Only what the nodes use is known: `define`, `define(eq=False)`, `frozen`, `Factory`,
`evolve`, a hook after construction. Anything else ends the build. A frozen class can
be changed by its attributes afterwards: that is checked where the tests run, on the
classes of `attrs` themselves.
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
# What the two programs load; no other module is touched.
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
    """A class that is written in a way that is not known here."""


@frozen
class Field:
    """A field of a record.

    Attributes:
        name: Its name.
        default: Its default or the callable that makes it, source text; empty for none.
        is_made: Whether the default is made anew by a callable for each record.
    """

    name: str
    default: str
    is_made: bool

    @property
    def parameter(self) -> str:
        """The field among the parameters of the constructor."""
        if self.is_made:
            return f"{self.name}={NOTHING}"
        return f"{self.name}={self.default}" if self.default else self.name

    @property
    def assignment(self) -> str:
        """The statement of the constructor that sets it."""
        if not self.is_made:
            return f"self.{self.name} = {self.name}"
        made = f"({self.default})() if {self.name} is {NOTHING} else {self.name}"
        return f"self.{self.name} = {made}"


@define
class Record:
    """An attrs class as it stands in a module.

    Attributes:
        name: Its name.
        is_frozen: Whether its records may be keys.
        has_equality: Whether records with equal fields are equal.
        fields: Its fields in order.
        has_post_init: Whether a hook follows the constructor.
    """

    name: str
    is_frozen: bool
    has_equality: bool
    fields: list[Field]
    has_post_init: bool

    def methods(self) -> list[ast.stmt]:
        """Writes its slots and methods.

        Returns:
            Statements for the body of the class.
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
    """Replaces the attrs classes of one module and its calls of attrs."""

    def __init__(self) -> None:
        self.records = 0
        self.evolves = False

    def visit_ClassDef(self, node: ast.ClassDef) -> ast.ClassDef:
        self.generic_visit(node)
        if not any(_decorator_name(d) in DECORATORS for d in node.decorator_list):
            return node
        record = _record_of(node)
        self.records += 1
        node.decorator_list = []
        kept = [item for item in node.body if not isinstance(item, ast.AnnAssign)]
        docstring = 1 if ast.get_docstring(node, clean=False) is not None else 0
        node.body = kept[:docstring] + record.methods() + kept[docstring:]
        return node

    def visit_ImportFrom(self, node: ast.ImportFrom) -> ast.ImportFrom | None:
        if node.module != "attrs":
            return node
        for alias in node.names:
            # Guards against a name that is gone at run time: a task of each node ends
            # with the first use of it.
            if alias.name not in IMPORTED_NAMES or alias.asname:
                raise UnsupportedFormError(f"import of {ast.unparse(alias)} from attrs")
        return None

    def visit_Import(self, node: ast.Import) -> ast.Import | None:
        node.names = [alias for alias in node.names if alias.name != "attrs"]
        return node if node.names else None

    def visit_Call(self, node: ast.Call) -> ast.Call:
        self.generic_visit(node)
        if ast.unparse(node.func) == "attrs.evolve":
            self.evolves = True
            node.func = ast.Name("_evolve", ast.Load())
        return node


def compile_module(source: str) -> str:
    """Writes out the records of one module.

    Args:
        source: Its source text.

    Returns:
        Its new source text, without comments; the same text if it has no records.

    Raises:
        UnsupportedFormError: A class or call of attrs that is not known here.
    """
    writer = _RecordWriter()
    tree = writer.visit(ast.parse(source))
    if not writer.records and not writer.evolves:
        return source
    start = _after_future_imports(tree.body)
    helpers = f"{NOTHING} = object()\n" + (EVOLVE if writer.evolves else "")
    tree.body[start:start] = ast.parse(helpers).body
    text = ast.unparse(ast.fix_missing_locations(tree))
    if "attrs." in text:
        raise UnsupportedFormError("a call of attrs is left")
    return text


def _record_of(node: ast.ClassDef) -> Record:
    if node.bases or len(node.decorator_list) != 1:
        raise UnsupportedFormError(f"{node.name}: bases or several decorators")
    decorator = node.decorator_list[0]
    options = {}
    if isinstance(decorator, ast.Call):
        options = {str(k.arg): ast.literal_eval(k.value) for k in decorator.keywords}
    if options not in ({}, {"eq": False}):
        raise UnsupportedFormError(f"{node.name}: options {options}")
    methods = {i.name for i in node.body if isinstance(i, ast.FunctionDef)}
    return Record(
        name=node.name,
        is_frozen=_decorator_name(decorator) == "frozen",
        has_equality=not options,
        fields=[_field_of(i) for i in node.body if isinstance(i, ast.AnnAssign)],
        has_post_init=POST_INIT in methods,
    )


def _field_of(node: ast.AnnAssign) -> Field:
    name = ast.unparse(node.target)
    if name.startswith("_") or "ClassVar" in ast.unparse(node.annotation):
        raise UnsupportedFormError(f"field {name}")
    if node.value is None:
        return Field(name, "", is_made=False)
    if isinstance(node.value, ast.Call) and _decorator_name(node.value) == "Factory":
        return Field(name, ast.unparse(node.value.args[0]), is_made=True)
    return Field(name, ast.unparse(node.value), is_made=False)


def _decorator_name(node: ast.expr) -> str:
    return ast.unparse(node.func if isinstance(node, ast.Call) else node)


def _after_future_imports(body: list[ast.stmt]) -> int:
    for index, item in enumerate(body):
        if isinstance(item, ast.ImportFrom) and item.module == "__future__":
            return index + 1
    return 0


def modules_of_nodes(folder: Path) -> list[str]:
    """Lists the modules of the package that a node loads.

    Args:
        folder: Folder that holds the package.

    Returns:
        Their names.
    """
    output = subprocess.check_output(
        [sys.executable, "-c", LIST_MODULES],
        text=True,
        env={
            "PYTHONPATH": os.pathsep.join([str(folder), *sys.path]),
            # Compiled files of the classes as they were would be taken for the new.
            "PYTHONDONTWRITEBYTECODE": "1",
        },
    )
    return output.split()


def main(arguments: list[str]) -> int:
    """Writes out the records of all modules that the nodes load, in place.

    Args:
        arguments: The folder that holds the copy of the package.

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
