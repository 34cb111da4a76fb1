"""Imports point one way, and one package alone reads clocks and sockets."""

from __future__ import annotations

import ast
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "micadeck"
FILES = sorted(ROOT.rglob("*.py"))

# From the ground up: a module imports from its own layer and those before it, of the package's own.
LAYERS = [
    ("micadeck.policy",),
    (
        "micadeck.network",
        "micadeck.keys",
        "micadeck.errors",
        "micadeck.signals",
        "micadeck.rate_limited_log",
        "micadeck.memory",
    ),
    ("micadeck.engine",),
    ("micadeck.operations",),
    ("micadeck.http",),
    ("micadeck.membership", "micadeck.peer_datagrams", "micadeck.fleet"),
    ("micadeck.mysql",),
    ("micadeck.traces", "micadeck.incidents"),
    ("micadeck.config", "micadeck.simulator_adapter"),
    ("micadeck.reload", "micadeck.graceful_shutdown", "micadeck.memory_relief"),
    ("micadeck.runtime",),
    ("micadeck.sidecar",),
    ("micadeck.library",),
    ("micadeck.asgi", "micadeck.httpx", "micadeck.daemon", "micadeck.__main__", "micadeck"),
    ("micadeck.cli",),
    ("micadeck.stand_ins",),
    ("micadeck.simulation",),
]
CLOCKS_AND_SOCKETS = {"time", "socket", "select", "selectors", "datetime", "uvloop"}
OF_THE_LOOP = {"get_running_loop", "get_event_loop", "create_connection", "create_server", "call_later"}
OF_THE_LOOP |= {"sleep", "timeout"}
# The parts that own an event loop or stand for other machines, with the reason.
EXEMPT = {
    "micadeck.daemon": "starts the event loop",
    "micadeck.signals": "hears signals, and takes their time",
    "micadeck.mysql.__main__": "starts the event loop and hears signals",
    "micadeck.incidents.__main__": "reads times that people wrote, and no clock",
    "micadeck.incidents.report": "words times, and reads no clock",
    "micadeck.library": "stands between the host's event loop and the engine's own",
    "micadeck.stand_ins": "other systems, which have clocks and sockets of their own",
}
MAX_MODULE_LINES = 500
# Longer ones that are still to be cut, with the lines that they may have at most: this list only shrinks.
LONG_MODULES = {
    "micadeck/mysql/client_session.py": 695,
    "micadeck/mysql/transport.py": 680,
    "micadeck/simulation/simulated_day.py": 573,
    "micadeck/stand_ins/mysql/server.py": 605,
}
VIRTUAL = "micadeck.simulation"  # has a loop of its own, whose time is no clock's


def _name(path: Path) -> str:
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _layer(module: str) -> int:
    fits = [
        (len(name), number)
        for number, names in enumerate(LAYERS)
        for name in names
        if module == name or module.startswith(name + ".")
    ]
    return max(fits)[1]


def _imported(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (each.name for each in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            assert node.level == 0
            yield node.module
            yield from (f"{node.module}.{each.name}" for each in node.names)


@pytest.mark.parametrize("path", FILES, ids=_name)
def test_imports_point_one_way(path: Path) -> None:
    own = _layer(_name(path))
    for module in _imported(ast.parse(path.read_text(encoding="utf-8"))):
        if module.startswith("micadeck"):
            assert _layer(module) <= own, f"{_name(path)} imports {module}"


def _imported_at_load(tree: ast.Module) -> Iterator[str]:
    """What a module imports as it is loaded: neither in functions nor for the type checker alone."""
    waiting: list[ast.stmt] = list(tree.body)
    while waiting:
        node = waiting.pop()
        if isinstance(node, (ast.Import, ast.ImportFrom)):
            yield from _imported(node)
        elif isinstance(node, ast.If) and ast.unparse(node.test) != "TYPE_CHECKING":
            waiting += [*node.body, *node.orelse]
        elif isinstance(node, ast.Try):
            waiting += [*node.body, *node.orelse, *node.finalbody]


def test_no_modules_import_each_other_in_a_circle() -> None:
    names = {_name(path) for path in FILES}
    graph = {
        _name(path): {
            each
            for each in _imported_at_load(ast.parse(path.read_text(encoding="utf-8")))
            if each in names and each != _name(path) and not path.samefile(ROOT / "__init__.py")
        }
        for path in FILES
    }
    # A package's own `__init__` names its public things: what is below it is loaded by it, not the reverse.
    graph = {
        name: {each for each in found if not name.startswith(each + ".")} for name, found in graph.items()
    }
    while True:
        done = {name for name, found in graph.items() if not found & graph.keys()}
        if not done:
            break
        graph = {name: found for name, found in graph.items() if name not in done}
    assert graph == {}


@pytest.mark.parametrize("path", FILES, ids=_name)
def test_no_module_is_longer_than_a_sitting_takes_to_read(path: Path) -> None:
    lines = path.read_text(encoding="utf-8").splitlines()
    listed = LONG_MODULES.get(str(path.relative_to(ROOT.parent)))
    assert len(lines) <= (listed or MAX_MODULE_LINES)
    assert "policy" not in path.relative_to(ROOT).parts or max(map(len, lines), default=0) <= 110
    assert listed is None or len(lines) > MAX_MODULE_LINES, "take it off the list"


@pytest.mark.parametrize("path", FILES, ids=_name)
def test_clocks_and_sockets_are_read_in_one_package(path: Path) -> None:
    name = _name(path)
    if name.startswith("micadeck.network") or any(name == e or name.startswith(e + ".") for e in EXEMPT):
        return
    tree = ast.parse(path.read_text(encoding="utf-8"))
    assert not CLOCKS_AND_SOCKETS & {each.partition(".")[0] for each in _imported(tree)}
    if name.startswith(VIRTUAL):
        return
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and node.attr in OF_THE_LOOP:
            held = ast.unparse(node.value)
            assert "network" in held.lower(), f"{name}:{node.lineno}: {held}.{node.attr}"


def test_the_daemon_loads_nothing_of_the_library_or_its_extras() -> None:
    probe = "import sys, micadeck.daemon; print([each for each in sys.modules if 'micadeck' in each])"
    told = subprocess.run(
        [sys.executable, "-c", probe], cwd=ROOT.parent, capture_output=True, text=True, check=True
    ).stdout
    for each in (
        "library",
        "asgi",
        "micadeck.httpx",
        "stand_ins",
        "consul",
        "sources",
        "micadeck.cli",
        "mysql",
        "traces",
        "incidents",
        "simulation",
    ):
        assert each not in told
