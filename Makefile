PY := .venv/bin/python

.PHONY: setup test check format demo bench bench-plot soak

setup: .venv/.stamp

.venv/.stamp: requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install -q --disable-pip-version-check -r requirements.lock
	$(PY) -m pip install -q --disable-pip-version-check --no-deps -e .
	touch $@

test: setup
	$(PY) -m harness.run_tests

check: setup
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m harness.imports
	$(PY) -m mypy

format: setup
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

demo: setup
	$(PY) -m harness.demo

bench: setup
	$(PY) -m bench.run_all

# Draws the output of `make bench`, kept in the file RESULTS.
RESULTS := build/bench.jsonl

bench-plot: setup
	mkdir -p build; test -f $(RESULTS) || $(PY) -m bench.run_all > $(RESULTS)
	$(PY) -m bench.plot < $(RESULTS)
