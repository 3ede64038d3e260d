"""Known red tests: tests that fail for a real fault which awaits its mending.

`KNOWN-RED.txt` at the root of the repository holds one line a test, its pytest id, the
cause and the issue parted by ` | `, three lines at most; an absent file means none. The
listed tests run as `xfail(strict=True)`, and the end of the run prints each with its cause.

A run fails when a listed test passes, when a line is malformed or repeated, when there
is a line too many, and when a line names no test. The last is judged by whole runs only:
those that collect every `testpaths` of the configuration, nothing ignored. What `-k`, `-m`
and `--deselect` take out of a run counts as collected.

Under `pytest-xdist` only the workers collect and only the controller prints, so lines that
name no test travel with the output of a worker, and listed tests with their reports.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

FILE_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
MOST_LINES = 3
"""Agreed with the users: more red tests than this stop the line."""
ISSUE_FORM = re.compile(r"issue \d+")
PROPERTY = "known_red"
"""Name of the user property that marks the reports of a listed test."""
NOT_RUN = "not run"
FAILS = "fails as known"
PASSES = "PASSES: take it off the list"
NAMES_NO_TEST = "NAMES NO TEST: mend the line or take it off the list"
STRICT_PASS = "[XPASS(strict)]"
"""Begins the report of pytest for a pass against a strict `xfail`."""


@dataclass(frozen=True)
class KnownRedTest:
    """One line of the list."""

    test_id: str
    cause: str
    issue: str

    @property
    def reason(self) -> str:
        """The cause as a run prints it."""
        return f"{self.cause} ({self.issue})"


def parse_line(line: str) -> KnownRedTest:
    """Read one line; an id may hold the separator, a cause may not."""
    fields = [field.strip() for field in line.rsplit(SEPARATOR, 2)]
    if len(fields) != 3 or not all(fields):
        raise pytest.UsageError(f"{FILE_NAME}: not 'test id | cause | issue N': {line!r}")
    if not ISSUE_FORM.fullmatch(fields[2]):
        raise pytest.UsageError(f"{FILE_NAME}: no 'issue N' at the end of {line!r}")
    return KnownRedTest(*fields)


def parse(text: str) -> dict[str, KnownRedTest]:
    """Read the list, by test id; empty lines don't count."""
    tests = [parse_line(line) for line in text.splitlines() if line.strip()]
    by_id = {test.test_id: test for test in tests}
    if len(tests) > MOST_LINES:
        raise pytest.UsageError(f"{FILE_NAME}: {len(tests)} lines, at most {MOST_LINES}")
    if len(by_id) < len(tests):
        raise pytest.UsageError(f"{FILE_NAME}: a test is listed twice")
    return by_id


def is_whole_run(config: pytest.Config) -> bool:
    """Tell whether the run collects every test that the configuration names."""
    narrowing = ("ignore", "ignore_glob", "lf")
    if any(config.getoption(name, default=None) for name in narrowing):
        return False
    wanted = [config.rootpath / path for path in config.getini("testpaths")] or [config.rootpath]
    given = [(config.invocation_params.dir / argument).resolve() for argument in config.args]
    return all(any(path.resolve().is_relative_to(other) for other in given) for path in wanted)


class KnownRed:
    """Plugin that marks the listed tests, judges the list and prints it."""

    def __init__(self, tests: dict[str, KnownRedTest]) -> None:
        self.tests = tests
        self.states = dict.fromkeys(tests, NOT_RUN)

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Mark the listed tests, before anything is deselected."""
        missing = set(self.tests)
        for item in items:
            test = self.tests.get(item.nodeid)
            if test is None:
                continue
            missing.discard(item.nodeid)
            item.add_marker(pytest.mark.xfail(reason=test.reason, strict=True), append=False)
            item.user_properties.append((PROPERTY, test.test_id))
        if is_whole_run(config):
            self._note_missing(missing)
        if hasattr(config, "workeroutput"):
            config.workeroutput[PROPERTY] = sorted(self.missing)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        """Take what a worker found on its collection."""
        self._note_missing(getattr(node, "workeroutput", {}).get(PROPERTY, ()))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note how a listed test came out."""
        test_id = dict(report.user_properties).get(PROPERTY)
        if test_id not in self.tests:
            return
        if hasattr(report, "wasxfail"):
            self.states[test_id] = FAILS
        elif STRICT_PASS in str(report.longrepr):
            self.states[test_id] = PASSES

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail the run for lines that name no test."""
        if self.missing and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the list, each test with its cause and how it came out."""
        if not self.tests:
            return
        terminalreporter.section(FILE_NAME)
        for test_id, test in self.tests.items():
            terminalreporter.write_line(f"{test_id}: {self.states[test_id]}: {test.reason}")

    @property
    def missing(self) -> list[str]:
        """Listed ids that name no test."""
        return [test_id for test_id, state in self.states.items() if state == NAMES_NO_TEST]

    def _note_missing(self, test_ids: Iterable[str]) -> None:
        self.states.update(dict.fromkeys(test_ids, NAMES_NO_TEST))


def install(config: pytest.Config) -> None:
    """Read the list and register the plugin; called from `pytest_configure`."""
    path = Path(config.rootpath, FILE_NAME)
    text = path.read_text() if path.exists() else ""
    config.pluginmanager.register(KnownRed(parse(text)), "known-red")
