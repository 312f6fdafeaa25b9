PY := .venv/bin/python
SCENARIO_TESTS = $(patsubst %.py,%,$(subst /,.,$(wildcard harness/tests/test_*_scenarios.py)))

.PHONY: setup test check format demo bench bench-plot scenarios soak

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

# One run of each scenario with its fixed seed.
scenarios: setup
	$(PY) -m harness.run_tests $(SCENARIO_TESTS)

# Scenarios with fresh seeds and full times: make soak DURATION_S=600
DURATION_S ?= 600
soak: setup
	$(PY) -m harness.soak $(DURATION_S)

bench: setup
	$(PY) -m bench.run_all

# Draws the output of `make bench`, kept in the file RESULTS.
RESULTS := build/bench.jsonl

bench-plot: setup
	mkdir -p build; test -f $(RESULTS) || $(PY) -m bench.run_all > $(RESULTS)
	$(PY) -m bench.plot < $(RESULTS)
