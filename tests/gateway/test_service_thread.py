"""A thread goes on after errors; one that fails again and again is reported as lost."""

from structlog.testing import CapturingLogger

from troutswitch.gateway.service_thread import MAX_FAILURES, ServiceThread
from troutswitch.gateway.unexpected_errors import UnexpectedErrors


class FailingFunction:
    """Fails a number of times, then returns."""

    def __init__(self, failures: int) -> None:
        self.left = failures

    def __call__(self) -> None:
        if self.left:
            self.left -= 1
            raise OSError("a descriptor that can't be read")


def lost_threads(failures: int) -> tuple[list[str], list[str]]:
    """Runs a function that fails; returns the lost threads and the counted steps."""
    lost: list[str] = []
    counted: list[str] = []
    errors = UnexpectedErrors(CapturingLogger(), counted.append)
    function = FailingFunction(failures)
    ServiceThread("reader", function, errors, lost.append, lambda seconds: None).run()
    assert function.left == 0
    return lost, counted


def test_function_runs_again_after_errors_which_are_counted() -> None:
    assert lost_threads(MAX_FAILURES - 1) == ([], ["thread reader"] * (MAX_FAILURES - 1))


def test_thread_that_keeps_failing_is_lost_once() -> None:
    lost, _ = lost_threads(3 * MAX_FAILURES)
    assert lost == ["reader"]
