PYTHON ?= python3
BIN := .venv/bin
# Processes among which the tests are shared out; 0 runs them all in one.
WORKERS ?= 8
# Tests that share a process or a port are marked with one xdist_group and stay in one worker.
DIST := loadgroup

# Seeds and length of the soak on real processes; see docs/OPERATIONS.md.
SEEDS := 101 102 103
SECONDS := 25

.PHONY: setup demo test lint soak

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
	$(BIN)/python -m pytest -n $(WORKERS) --dist $(DIST)

soak: setup
	for seed in $(SEEDS); do \
		$(BIN)/troutswitch soak --seconds $(SECONDS) --seed $$seed || exit 1; \
	done
