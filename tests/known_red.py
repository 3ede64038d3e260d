"""Known red tests: tests that fail because of a real fault that has not been fixed yet.

`KNOWN-RED.txt` at the root of the repository lists tests, one per line: pytest id, command and
seed, what was seen, and issue, separated by ` | `. Without the file no test is listed. Listed tests
run as `xfail(strict=True)`, and the terminal summary prints each with its entry and outcome.

A run fails if a listed test passes, if a line is malformed or repeated, or if a line names no test.
Only complete runs check the last condition: those that collect every `testpaths` of the
configuration and ignore nothing. Tests deselected with `-k`, `-m` or `--deselect` count as
collected.

Under `pytest-xdist` only workers collect tests and only the controller prints. Workers therefore
send lines that name no test in their `workeroutput`, and mark listed tests by a user property of
their reports.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

FILE_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
FIELDS = 4
ISSUE_FORM = re.compile(r"issue \d+")
PROPERTY = "known_red"
"""User property of the reports of a listed test, and key in `workeroutput`."""
NOT_RUN = "not run"
FAILS = "fails as known"
PASSES = "PASSES: take it off the list"
NAMES_NO_TEST = "NAMES NO TEST: mend the line or take it off the list"
STRICT_PASS = "[XPASS(strict)]"
"""Start of pytest's report for a test that passes despite a strict `xfail`."""


@dataclass(frozen=True)
class KnownRedTest:
    """One line of the list."""

    test_id: str
    command: str
    seen: str
    issue: str

    @property
    def reason(self) -> str:
        """The rest of the entry, as printed in the terminal summary."""
        return f"{self.seen} ({self.issue}; {self.command})"


def parse_line(line: str) -> KnownRedTest:
    """Parses one line; the test id may contain the separator, the other fields may not."""
    fields = [field.strip() for field in line.rsplit(SEPARATOR, FIELDS - 1)]
    if len(fields) != FIELDS or not all(fields):
        form = "test id | command and seed | what was seen | issue N"
        raise pytest.UsageError(f"{FILE_NAME}: not '{form}': {line!r}")
    if not ISSUE_FORM.fullmatch(fields[-1]):
        raise pytest.UsageError(f"{FILE_NAME}: no 'issue N' at the end of {line!r}")
    return KnownRedTest(*fields)


def parse(text: str) -> dict[str, KnownRedTest]:
    """Parses the list into tests by id; empty lines are skipped."""
    tests = [parse_line(line) for line in text.splitlines() if line.strip()]
    by_id = {test.test_id: test for test in tests}
    if len(by_id) < len(tests):
        raise pytest.UsageError(f"{FILE_NAME}: a test is listed twice")
    return by_id


def is_whole_run(config: pytest.Config) -> bool:
    """Whether the run collects every test in the configured `testpaths`."""
    narrowing = ("ignore", "ignore_glob", "lf")
    if any(config.getoption(name, default=None) for name in narrowing):
        return False
    test_paths = [config.rootpath / path for path in config.getini("testpaths")] or [
        config.rootpath
    ]
    arguments = [(config.invocation_params.dir / argument).resolve() for argument in config.args]
    return all(
        any(path.resolve().is_relative_to(other) for other in arguments) for path in test_paths
    )


class KnownRed:
    """Plugin that marks the listed tests, checks the list and prints it."""

    def __init__(self, tests: dict[str, KnownRedTest]) -> None:
        self.tests = tests
        self.states = dict.fromkeys(tests, NOT_RUN)

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Marks the listed tests, before other hooks deselect any."""
        missing = set(self.tests)
        for item in items:
            test = self.tests.get(item.nodeid)
            if test is None:
                continue
            missing.discard(item.nodeid)
            item.add_marker(pytest.mark.xfail(reason=test.reason, strict=True), append=False)
            item.user_properties.append((PROPERTY, test.test_id))
        if is_whole_run(config):
            self._mark_missing(missing)
        if hasattr(config, "workeroutput"):
            config.workeroutput[PROPERTY] = sorted(self.missing)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        """Reads the lines that name no test from the output of a worker."""
        self._mark_missing(getattr(node, "workeroutput", {}).get(PROPERTY, ()))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Records the outcome of a listed test."""
        test_id = dict(report.user_properties).get(PROPERTY)
        if test_id not in self.tests:
            return
        if hasattr(report, "wasxfail"):
            self.states[test_id] = FAILS
        elif STRICT_PASS in str(report.longrepr):
            self.states[test_id] = PASSES

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fails the run if lines name no test."""
        if self.missing and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints each listed test with its outcome and entry."""
        if not self.tests:
            return
        terminalreporter.section(FILE_NAME)
        for test_id, test in self.tests.items():
            terminalreporter.write_line(f"{test_id}: {self.states[test_id]}: {test.reason}")

    @property
    def missing(self) -> list[str]:
        """The listed ids that name no test."""
        return [test_id for test_id, state in self.states.items() if state == NAMES_NO_TEST]

    def _mark_missing(self, test_ids: Iterable[str]) -> None:
        self.states.update(dict.fromkeys(test_ids, NAMES_NO_TEST))


def install(config: pytest.Config) -> None:
    """Reads the list and registers the plugin; called from `pytest_configure`."""
    path = Path(config.rootpath, FILE_NAME)
    text = path.read_text() if path.exists() else ""
    config.pluginmanager.register(KnownRed(parse(text)), "known-red")
