# Every command installs what it needs into .venv first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := state protocol coordination transport gateway daemon ctl standins bench
PROJECTS := $(foreach p,$(PACKAGES),packages/$(p)) platform
SOURCES := $(foreach p,$(PROJECTS),$(p)/src)
CODE := packages platform conftest.py

.PHONY: help install soak test lint format demo cost slopes scenario experiment matrix generate docs clean

help:
	@echo "make demo | soak | test | lint | cost | slopes | scenario | experiment | matrix | docs | generate | clean"

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(foreach p,$(PROJECTS),$(p)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation $(foreach p,$(PROJECTS),-e $(p))
	@touch $@

# Tests of faults, and those that measure what real processes get done, run
# against the clock: one at a time, so that the others' load does not decide
# their verdict. The latter have a process without the fleet of the former.
test: install
	$(BIN)/python -m pytest -n 6 --dist worksteal --durations=10 -m "not fault and not alone"
	$(BIN)/python -m pytest -m fault
	$(BIN)/python -m pytest -m alone

lint: install
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/mypy $(SOURCES)

format: install
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

demo: install
	$(BIN)/python -m hollyknot_bench.demo

cost: install
	$(BIN)/python -m hollyknot_bench.cost

slopes: install
	$(BIN)/python -m hollyknot_bench.slopes

scenario: install
	$(BIN)/python -m hollyknot_bench.scenario

# Options in SOAK, such as SOAK="--hosts 83 --seed 7"; --help lists them.
soak: install
	$(BIN)/python -m hollyknot_platform.tests.soak $(SOAK)

experiment: install
	$(BIN)/python -m hollyknot_bench.experiment examples/loads/short-answers.json

matrix: install
	$(BIN)/python -m hollyknot_bench.matrix

docs: install
	$(BIN)/python -m hollyknot_ctl.reference docs

# Needs the Apache Thrift compiler; its output is committed, builds do not
# need it.
generate:
	cd packages/protocol && for f in idl/*.thrift; do \
	  thrift --gen py:package_prefix=hollyknot_protocol.gen.,slots -out src/hollyknot_protocol/gen $$f; done

clean:
	rm -rf $(VENV) out
