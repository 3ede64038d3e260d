"""The paths of code and pages that the documentation names exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
CODE_FOLDERS = (ROOT / "src" / "troutswitch", ROOT / "tests")
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").rglob("*.md"))]
CODE_PATH = re.compile(r"`([\w.-]+(?:/[\w.-]+)*(?:\.py|/))`")
"""A Python file or a folder in backticks."""
PAGE_PATH = re.compile(r"(?<![\w/])docs/[\w/-]+\.md")
"""A page, with or without backticks."""


def existing_code_paths() -> set[str]:
    """Returns the paths of all files and folders of code; folders end in a slash."""
    paths = [path for folder in CODE_FOLDERS for path in (folder, *folder.rglob("*"))]
    return {path.as_posix() + ("/" if path.is_dir() else "") for path in paths}


EXISTING = existing_code_paths()


def exists(name: str) -> bool:
    """Whether a path exists relative to the root, or a path of code ends in it."""
    path = ROOT / name
    if path.is_dir() if name.endswith("/") else path.is_file():
        return True
    return any(existing.endswith(f"/{name}") for existing in EXISTING)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_paths_in_a_page_exist(page: Path) -> None:
    text = page.read_text()
    names = {*CODE_PATH.findall(text), *PAGE_PATH.findall(text)}
    assert sorted(name for name in names if not exists(name)) == []


def test_missing_path_is_detected() -> None:
    assert exists("decisions/gateway.py")
    assert not exists("decisions/no_such_module.py")
    assert not exists("no_such_folder/")
    assert CODE_PATH.findall("see `decisions/gone.py` and `gone/`") == [
        "decisions/gone.py",
        "gone/",
    ]
