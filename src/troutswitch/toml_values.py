"""Decodes a settings file in TOML, and checks its form."""

from typing import TypeVar

import msgspec

Form = TypeVar("Form")


class MalformedToml(ValueError):
    """The bytes are not TOML, or do not have the requested form."""


def decode_toml(data: bytes, form: type[Form]) -> Form:
    """Returns the value that the bytes encode.

    Args:
        data: the content of the file.
        form: type of the value, as `msgspec.toml.decode` takes it.

    Raises:
        MalformedToml: the bytes encode no such value.
    """
    try:
        value: Form = msgspec.toml.decode(data, type=form)
    except Exception as error:  # nesting and numbers raise errors of many types
        raise MalformedToml(str(error) or type(error).__name__) from error
    return value
