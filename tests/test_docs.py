"""Guards the pages against paths that went: a newcomer who follows one must find it."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
CODE_FOLDERS = (ROOT / "src" / "troutswitch", ROOT / "tests")
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").rglob("*.md"))]
CODE_PATH = re.compile(r"`([\w.-]+(?:/[\w.-]+)*(?:\.py|/))`")
"""A Python file or a folder, in backticks."""
PAGE_PATH = re.compile(r"(?<![\w/])docs/[\w/-]+\.md")
"""A page, with or without backticks."""


def existing_code_paths() -> set[str]:
    """Returns all files and folders of code; folders end in a slash."""
    paths = [path for folder in CODE_FOLDERS for path in (folder, *folder.rglob("*"))]
    return {path.as_posix() + ("/" if path.is_dir() else "") for path in paths}


EXISTING = existing_code_paths()


def exists(name: str) -> bool:
    """Returns whether a path exists from the root, or is the end of a path of code."""
    path = ROOT / name
    if path.is_dir() if name.endswith("/") else path.is_file():
        return True
    return any(existing.endswith(f"/{name}") for existing in EXISTING)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_the_paths_that_a_page_names_exist(page: Path) -> None:
    text = page.read_text()
    names = {*CODE_PATH.findall(text), *PAGE_PATH.findall(text)}
    assert sorted(name for name in names if not exists(name)) == []


def test_a_path_that_is_not_there_is_found() -> None:
    assert exists("decisions/gateway.py")
    assert not exists("decisions/no_such_module.py")
    assert not exists("no_such_folder/")
    assert CODE_PATH.findall("see `decisions/gone.py` and `gone/`") == [
        "decisions/gone.py",
        "gone/",
    ]
