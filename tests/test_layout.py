"""Guards which packages may import which, read from the source without importing it.

What the gateway daemon runs must be readable without the standalone daemon, and what only tests
use must not be part of the program.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src"
STANDALONE = "troutswitch.standalone"
PROGRAMS = ("troutswitch.gateway.__main__", "troutswitch.cli.__main__", "troutswitch.cli.main")
STARTED_BY_NAME = ("troutswitch.soak.clocked_daemon",)
"""Modules that another program starts as a process of its own, by `python -m`."""


def module_name(path: Path) -> str:
    parts = path.relative_to(SOURCE).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(path): path for path in sorted(SOURCE.rglob("*.py"))}


def imported_names(path: Path) -> Iterator[str]:
    """Yields the dotted names that a module's import statements name, wherever they stand."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: a relative import, which this test can't follow"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def modules_of(name: str) -> Iterator[str]:
    """Yields the module that a dotted name is or lies in, and the packages around it."""
    parts = name.split(".")
    for length in range(len(parts), 0, -1):
        module = ".".join(parts[:length])
        if module in MODULES:
            yield module


def reached_from(*programs: str) -> set[str]:
    """Returns all modules that the programs import, directly or by others."""
    reached: set[str] = set()
    open_modules = [module for program in programs for module in modules_of(program)]
    while open_modules:
        module = open_modules.pop()
        if module in reached:
            continue
        reached.add(module)
        for name in imported_names(MODULES[module]):
            open_modules += modules_of(name)
    return reached


def test_the_gateway_imports_nothing_of_the_standalone_daemon() -> None:
    reached = reached_from("troutswitch.gateway.__main__")
    assert "troutswitch.decisions.gateway" in reached, "the search follows imports"
    assert [module for module in reached if module.startswith(STANDALONE)] == []


def test_shared_packages_import_nothing_of_the_standalone_daemon() -> None:
    packages = ("daemons", "decisions", "gateway", "hindsight", "platform", "runtime", "soak")
    for module, path in MODULES.items():
        if module.split(".")[1:2] and module.split(".")[1] in packages:
            names = list(imported_names(path))
            assert not [name for name in names if name.startswith(STANDALONE)], module


def test_a_program_reaches_each_module() -> None:
    reached = reached_from(*PROGRAMS, *STARTED_BY_NAME)
    assert sorted(set(MODULES) - reached) == []
