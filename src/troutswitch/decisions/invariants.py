"""Invariants asserted inside the product, always on."""


class InvariantViolated(Exception):
    """The program's own state contradicts what it promises."""


def ensure(condition: bool, message: str) -> None:
    """Raises `InvariantViolated` unless the condition holds."""
    if not condition:
        raise InvariantViolated(message)
