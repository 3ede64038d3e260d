"""Hooks of the whole suite."""

import pytest

from tests import known_red


def pytest_configure(config: pytest.Config) -> None:
    known_red.install(config)
