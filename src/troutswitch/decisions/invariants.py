"""Invariant checks that also run in production."""


class InvariantViolated(Exception):
    """The program's internal state is inconsistent."""


def ensure(condition: bool, message: str) -> None:
    """Raises `InvariantViolated` with a message if the condition is false."""
    if not condition:
        raise InvariantViolated(message)
