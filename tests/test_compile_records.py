"""Tests that classes generated at build time behave like their attrs classes."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest
from tools.compile_records import UnsupportedFormError
from tools.compile_records import compile_module
from tools.compile_records import modules_of_nodes


SOURCES = Path("src")
SAMPLE = '''
"""A module."""

from __future__ import annotations

import attrs
from attrs import Factory
from attrs import define
from attrs import frozen

LOAD = (1, 2)


@frozen
class Key:
    """A key."""

    name: str
    number: int = 3

    @property
    def text(self) -> str:
        return f"{self.name}{self.number}"


@define
class Box:
    items: list[int] = Factory(list)
    load: tuple[int, int] = LOAD
    made: dict[str, int] = Factory(lambda: {"a": LOAD[0]})


@define(eq=False)
class Thing:
    key: Key
    size: int = 0

    def __attrs_post_init__(self) -> None:
        self.size = self.key.number


def renamed(key: Key, name: str) -> Key:
    return attrs.evolve(key, name=name)
'''


def _module(source: str) -> ModuleType:
    module = ModuleType("sample")
    exec(compile(source, "sample", "exec"), module.__dict__)
    return module


@pytest.fixture(params=["attrs", "written out"])
def sample(request: pytest.FixtureRequest) -> Any:
    return _module(SAMPLE if request.param == "attrs" else compile_module(SAMPLE))


def test_a_frozen_record_is_hashable(sample: Any) -> None:
    key = sample.Key("a")

    assert key == sample.Key("a", number=3)
    assert key != sample.Key("b")
    assert key != "a"
    assert {key: 1}[sample.Key("a")] == 1
    assert repr(key) == "Key(name='a', number=3)"
    assert key.text == "a3"
    assert sample.renamed(key, "b") == sample.Key("b")
    with pytest.raises(TypeError):
        sample.Key()


def test_a_mutable_record_is_not_hashable_and_shares_no_defaults(sample: Any) -> None:
    one, other = sample.Box(), sample.Box()
    one.items.append(1)

    assert other.items == []
    assert one != other
    assert other == sample.Box(made={"a": 1})
    assert sample.Box([1]) == one
    assert other.load == (1, 2)
    with pytest.raises(TypeError):
        hash(one)
    with pytest.raises(AttributeError):
        one.unknown = 1


def test_records_compared_by_identity_and_the_post_init_hook(sample: Any) -> None:
    one = sample.Thing(sample.Key("a", 7))

    assert one.size == 7
    assert one != sample.Thing(sample.Key("a", 7))
    assert {one}


@pytest.mark.parametrize(
    "text",
    [
        "@define(order=True)\nclass A:\n    x: int",
        "@frozen\nclass A(Base):\n    x: int",
        "@frozen\nclass A:\n    _x: int",
        "@frozen\nclass A:\n    x: ClassVar[int] = 1",
        "@frozen\nclass A:\n    x: int\n\nattrs.asdict(A(1))",
        # When it was dropped silently, this import ended a task of every node.
        "from attrs import evolve\n\n\ndef f(a: A) -> A:\n    return evolve(a, x=1)",
        "from attrs import frozen as record\n\n\n@record\nclass A:\n    x: int",
    ],
)
def test_an_unknown_form_fails_the_build(text: str) -> None:
    with pytest.raises(UnsupportedFormError):
        compile_module(text)


def test_all_modules_of_the_nodes_can_be_compiled() -> None:
    """Nodes must start without attrs; a class in an unknown form fails the build."""
    names = modules_of_nodes(SOURCES)

    assert "siskinshift.connections.agent_flows" in names
    for name in names:
        path = SOURCES / f"{name.replace('.', '/')}.py"
        if path.exists():
            assert "attrs import" not in compile_module(path.read_text())


def test_a_node_imports_no_unneeded_parser() -> None:
    """Guards against slow starts, during which a node serves nothing.

    On a fifth of a core a start takes four times as long. Each of these modules took a
    sixth to a tenth of it.
    """
    statement = (
        "import sys, siskinshift.connections.run, siskinshift.connections.agent_node;"
        "import siskinshift.connections.balancer_node;"
        "unwanted = {'orjson', 'tomllib', 'pathlib', 'uuid'};"
        "print(sorted(unwanted & set(sys.modules)))"
    )
    command = [sys.executable, "-S", "-c", statement]
    path = ":".join([str(SOURCES), *sys.path])
    output = subprocess.check_output(command, text=True, env={"PYTHONPATH": path})

    assert output.strip() == "[]"
