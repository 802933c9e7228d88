# All checkouts share one environment per locked set of dependencies.
CACHE ?= $(or $(XDG_CACHE_HOME),$(HOME)/.cache)/siskinshift
LOCK_HASH := $(shell sha256sum requirements.lock | cut -c1-12)
VENV := $(CACHE)/venv-$(LOCK_HASH)
PYTHON := $(VENV)/bin/python
export PYTHONPATH := src:.

.PHONY: environment format lint generate check-generated types unit test bench demo binary bench-connections bench-configuration fuzz-configuration

environment: $(VENV)/.ready

$(VENV)/.ready: requirements.lock
	mkdir -p $(CACHE)
	flock $(CACHE)/lock sh -c 'test -f $@ || { python3 -m venv $(VENV) && \
	  $(VENV)/bin/pip install -q -r requirements.lock && touch $@; }'

format: environment
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: environment
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

generate: environment
	$(PYTHON) -m tools.generate

check-generated: environment
	$(PYTHON) -m tools.generate --check

types: environment
	$(PYTHON) -m mypy

unit: environment
	$(PYTHON) -m pytest

test: lint check-generated types unit

bench: environment
	$(PYTHON) -m siskinshift.bench.dataplane

bench-connections: environment
	$(PYTHON) -m siskinshift.bench.connection_costs

bench-configuration: environment
	$(PYTHON) -m siskinshift.bench.configuration
	$(PYTHON) -m siskinshift.bench.configuration_in_force

FUZZ_SEED ?= 1
fuzz-configuration: environment
	FUZZ_EXAMPLES=2000 FUZZ_STEPS=50 $(PYTHON) -m pytest -s \
	  --hypothesis-seed=$(FUZZ_SEED) tests/configuration/test_fuzz.py

demo: environment
	$(PYTHON) -m siskinshift demo

binary: environment
	$(PYTHON) -m tools.build_binary
	$(PYTHON) -m pytest binary_tests

print-python:
	@echo $(PYTHON)

trial: environment
	$(PYTHON) -m siskinshift trial

.PHONY: bench-load
bench-load: environment
	$(PYTHON) -m siskinshift.bench.load

.PHONY: bench-telemetry
bench-telemetry: environment
	$(PYTHON) -m siskinshift.bench.telemetry

SEEDS ?= 1 2 3 4 5
SECONDS ?= 20
.PHONY: soak
soak: environment
	$(PYTHON) -m tests.soak.soak $(SECONDS) $(SEEDS)
