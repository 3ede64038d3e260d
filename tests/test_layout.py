"""Checks the imports between packages, by parsing the source without importing it.

The gateway daemon must not depend on the standalone daemon, and `src` must not contain modules
that only tests use.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src"
STANDALONE = "troutswitch.standalone"
PROGRAMS = ("troutswitch.gateway.__main__", "troutswitch.cli.__main__", "troutswitch.cli.main")
STARTED_BY_NAME = ("troutswitch.soak.clocked_daemon",)
"""Modules that another program starts in a separate process by `python -m`."""


def module_name(path: Path) -> str:
    parts = path.relative_to(SOURCE).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(path): path for path in sorted(SOURCE.rglob("*.py"))}


def imported_names(path: Path) -> Iterator[str]:
    """Yields the dotted names in all import statements of a module, also in nested scopes."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: relative imports are not supported by this test"
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def modules_of(name: str) -> Iterator[str]:
    """Yields the module that a dotted name is or belongs to, and its parent packages."""
    parts = name.split(".")
    for length in range(len(parts), 0, -1):
        module = ".".join(parts[:length])
        if module in MODULES:
            yield module


def modules_imported_by(*programs: str) -> set[str]:
    """Returns all modules that the programs import, directly or indirectly."""
    imported: set[str] = set()
    pending = [module for program in programs for module in modules_of(program)]
    while pending:
        module = pending.pop()
        if module in imported:
            continue
        imported.add(module)
        for name in imported_names(MODULES[module]):
            pending += modules_of(name)
    return imported


def test_gateway_imports_nothing_of_the_standalone_daemon() -> None:
    imported = modules_imported_by("troutswitch.gateway.__main__")
    assert "troutswitch.decisions.gateway" in imported, "imports are not followed"
    assert [module for module in imported if module.startswith(STANDALONE)] == []


def test_shared_packages_import_nothing_of_the_standalone_daemon() -> None:
    packages = ("daemons", "decisions", "gateway", "hindsight", "platform", "runtime", "soak")
    for module, path in MODULES.items():
        if module.split(".")[1:2] and module.split(".")[1] in packages:
            names = list(imported_names(path))
            assert not [name for name in names if name.startswith(STANDALONE)], module


def test_every_module_is_imported_by_a_program() -> None:
    imported = modules_imported_by(*PROGRAMS, *STARTED_BY_NAME)
    assert sorted(set(MODULES) - imported) == []
