"""Known red tests, checked by complete pytest runs of small suites."""

from pathlib import Path

import pytest

from tests import known_red

pytest_plugins = ("pytester",)

SUITE = """
    import pytest

    def test_red():
        assert False

    def test_green():
        pass

    @pytest.mark.parametrize("name", ["plain", "a | b"])
    def test_named(name):
        assert name == "plain"

    @pytest.fixture
    def broken():
        raise OSError

    def test_setup(broken):
        pass
"""
RED = "tests/test_suite.py::test_red | seed 1 | race at startup | issue 7"
GREEN = "tests/test_suite.py::test_green | seed 1 | already fixed | issue 8"
NAMED = "tests/test_suite.py::test_named[a | b] | seed 1 | truncated names | issue 9"
SETUP = "tests/test_suite.py::test_setup | seed 1 | disk full | issue 10"
ABSENT = "tests/test_suite.py::test_absent | seed 1 | it was renamed | issue 11"
ELSEWHERE = "tests/test_gone.py::test_red | seed 1 | it was moved | issue 12"
ONE_PROCESS = ()
TWO_WORKERS = ("-p", "xdist.plugin", "-n", "2")


@pytest.fixture(params=[ONE_PROCESS, TWO_WORKERS], ids=["one process", "two workers"])
def processes(request: pytest.FixtureRequest) -> tuple[str, ...]:
    """Runs a test both without and with workers; the outcome must be the same."""
    chosen: tuple[str, ...] = request.param
    return chosen


@pytest.fixture
def suite(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch) -> pytest.Pytester:
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")  # for speed
    pytester.makeini("[pytest]\ntestpaths = tests\n")
    pytester.makepyfile(hook=Path(known_red.__file__).read_text())
    pytester.makeconftest("from hook import install as pytest_configure")
    pytester.makepyfile(**{"tests/test_suite": SUITE, "tests/test_other": "def test_it(): pass"})
    return pytester


def run(suite: pytest.Pytester, lines: list[str], *arguments: str) -> pytest.RunResult:
    suite.path.joinpath(known_red.FILE_NAME).write_text("\n".join(lines))
    return suite.runpytest_subprocess(*arguments)


def test_absent_file_lists_no_test(suite: pytest.Pytester, processes: tuple[str, ...]) -> None:
    result = suite.runpytest_subprocess(*processes)
    result.assert_outcomes(passed=3, failed=2, errors=1)
    result.stdout.no_fnmatch_line(f"*{known_red.FILE_NAME}*")


def test_listed_tests_run_and_are_printed(
    suite: pytest.Pytester, processes: tuple[str, ...]
) -> None:
    result = run(suite, [RED, NAMED, "", SETUP], *processes)
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=3, xfailed=3)
    result.stdout.fnmatch_lines(
        [
            "*= KNOWN-RED.txt =*",
            "tests/test_suite.py::test_red: fails as known: race at startup (issue 7; seed 1)",
            "*test_named[[]a | b]: fails as known: truncated names (issue 9; seed 1)",
            "*test_setup: fails as known: disk full (issue 10; seed 1)",
        ]
    )


def test_unlisted_failures_fail_the_run(suite: pytest.Pytester, processes: tuple[str, ...]) -> None:
    result = run(suite, [RED, NAMED], *processes)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=3, xfailed=2, errors=1)


def test_listed_test_that_passes_fails_the_run(
    suite: pytest.Pytester, processes: tuple[str, ...]
) -> None:
    result = run(suite, [RED, GREEN], *processes, "-k", "red or green")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(xfailed=1, failed=1)
    result.stdout.fnmatch_lines(["*test_green: PASSES: take it off the list: already fixed*"])


def test_lenient_xfail_mark_of_a_test_does_not_override_the_list(suite: pytest.Pytester) -> None:
    lenient = "import pytest\n@pytest.mark.xfail\ndef test_it(): pass"
    suite.makepyfile(**{"tests/test_lenient": lenient})
    line = "tests/test_lenient.py::test_it | seed 1 | not yet | issue 7"
    result = run(suite, [line], *ONE_PROCESS, "tests/test_lenient.py")
    assert result.ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize("line", [ABSENT, ELSEWHERE], ids=["test", "file"])
def test_line_that_names_no_test_fails_the_run(
    suite: pytest.Pytester, processes: tuple[str, ...], line: str
) -> None:
    result = run(suite, [RED, line], *processes, "-k", "test_red or test_green")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines([f"{line.split()[0]}: NAMES NO TEST: *"])


@pytest.mark.parametrize("argument", ["tests", "."])
def test_complete_run_may_be_given_as_arguments(
    suite: pytest.Pytester, processes: tuple[str, ...], argument: str
) -> None:
    result = run(suite, [ABSENT], *processes, "-k", "green", argument)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    "arguments",
    [
        ("tests/test_other.py",),
        ("tests/test_other.py::test_it",),
        ("--ignore=tests/test_suite.py",),
    ],
    ids=["file", "test", "ignored"],
)
def test_partial_run_does_not_check_for_missing_tests(
    suite: pytest.Pytester, processes: tuple[str, ...], arguments: tuple[str, ...]
) -> None:
    result = run(suite, [RED, ABSENT], *processes, *arguments)
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1)
    result.stdout.fnmatch_lines(["*test_red: not run: race at startup (issue 7; seed 1)"])


@pytest.mark.parametrize("narrowing", [("-k", "green"), ("--deselect", RED.split()[0])])
def test_deselected_test_is_not_missing(
    suite: pytest.Pytester, processes: tuple[str, ...], narrowing: tuple[str, ...]
) -> None:
    result = run(suite, [RED, NAMED, SETUP], *processes, *narrowing)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["*test_red: not run: *"])


def test_item_removed_by_a_later_hook_is_not_missing(
    suite: pytest.Pytester, processes: tuple[str, ...]
) -> None:
    hook = "def pytest_collection_modifyitems(items): items[:] = items[:1]"
    suite.makepyfile(**{"tests/part/conftest": hook, "tests/part/test_part": "def test_it(): pass"})
    result = run(suite, [RED], *processes)
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1)
    result.stdout.fnmatch_lines(["*test_red: not run: *"])


def test_grouped_tests_are_matched_by_their_ids(suite: pytest.Pytester) -> None:
    grouped = "import pytest\n@pytest.mark.xdist_group('group')\ndef test_it(): assert False"
    suite.makepyfile(**{"tests/test_grouped": grouped})
    line = "tests/test_grouped.py::test_it | seed 1 | deadlock | issue 7"
    result = run(suite, [line], *TWO_WORKERS, "--dist", "loadgroup", "-k", "grouped")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        ["tests/test_grouped.py::test_it: fails as known: deadlock (issue 7; seed 1)"]
    )


@pytest.mark.parametrize(
    "lines",
    [
        [RED, RED],
        ["tests/test_suite.py::test_red"],
        ["tests/test_suite.py::test_red | seed 1 | race at startup"],
        ["tests/test_suite.py::test_red | race at startup | issue 7"],
        ["tests/test_suite.py::test_red | seed 1 |  | issue 7"],
        ["tests/test_suite.py::test_red |  | race at startup | issue 7"],
        ["tests/test_suite.py::test_red | seed 1 | race at startup | "],
        ["tests/test_suite.py::test_red | seed 1 | race at startup | some day"],
    ],
    ids=[
        "twice",
        "id only",
        "no issue",
        "no command",
        "nothing seen",
        "empty command",
        "empty issue",
        "issue unnamed",
    ],
)
def test_malformed_list_is_a_usage_error(
    suite: pytest.Pytester, processes: tuple[str, ...], lines: list[str]
) -> None:
    result = run(suite, lines, *processes)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["ERROR: KNOWN-RED.txt: *"])
