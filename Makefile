PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test lint

setup: .venv/.done

.venv/.done: pyproject.toml requirements.lock
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/troutswitch demo --seconds 6

lint: setup
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy

test: lint
	$(BIN)/python -m pytest
