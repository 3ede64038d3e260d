"""Makes a function that decodes what another process wrote total: it has one error.

A reader sets the record aside, or drops the message, when it gets the documented error. Any other
one would end the thread that reads, for a value that nobody thought of.
"""

import functools
from collections.abc import Callable
from typing import ParamSpec, TypeVar

Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")


def raises_only(
    documented: type[Exception],
) -> Callable[[Callable[Arguments, Result]], Callable[Arguments, Result]]:
    """Returns a decorator for functions without side effects, whose errors become `documented`.

    Args:
        documented: type of the error; it takes a message.
    """

    def decorate(decode: Callable[Arguments, Result]) -> Callable[Arguments, Result]:
        @functools.wraps(decode)
        def decode_or_reject(*args: Arguments.args, **kwargs: Arguments.kwargs) -> Result:
            try:
                return decode(*args, **kwargs)
            except documented:
                raise
            except Exception as error:
                raise documented(f"{type(error).__name__}: {error}") from error

        return decode_or_reject

    return decorate
