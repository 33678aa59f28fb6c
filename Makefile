# Entry points for developers. Each target sets up the virtual environment first.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint types unit mutations control-cost binary binary-check clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/jackdawpass demo

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy

unit: setup
	$(BIN)/pytest -n 4

test: lint types unit

mutations: setup
	$(BIN)/python -m tests.mutations

control-cost: setup
	$(BIN)/python -m jackdawpass.bench.control_cost

# Needs gcc and the static CPython library, so neither is part of `test`.
binary:
	$(PYTHON) -m binary.build

binary-check: binary
	$(PYTHON) -m binary.check

clean:
	rm -rf $(VENV) build dist
