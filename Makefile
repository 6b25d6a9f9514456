PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: setup demo test lint bench slopes known-red

setup: .venv/.installed

.venv/.installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $@

demo: setup
	$(BIN)/python -m demo

test: setup
	$(BIN)/python -m tests.gate

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: setup
	$(BIN)/python -m bench

slopes: setup
	$(BIN)/python -m bench.slopes
