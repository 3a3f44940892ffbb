# Front door of the workspace: every target sets up what it needs.

VENV ?= .venv
PYTHON ?= python3
PACKAGES := core daemon cli standins
SOURCES := $(foreach package,$(PACKAGES),packages/$(package)/src) platform/src
BIN := $(VENV)/bin
FLEET_ARGS ?=
BENCH_ARGS ?=
TEST_ARGS ?=
TEST_WORKERS ?= 4
SEED ?= 1
MINUTES ?= 10

empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(SOURCES)))
export PATH := $(abspath $(BIN)):$(PATH)

.PHONY: help setup format lint test demo up bench soak clean

help:  ## Lists the targets.
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

setup: $(VENV)/.ready  ## Makes the virtual environment from the pinned list.

# Says what it does on standard error: standard output is for the targets.
$(VENV)/.ready: requirements.txt
	@echo "Making the virtual environment $(VENV)" >&2
	@$(PYTHON) -m venv $(VENV) >&2
	@$(BIN)/pip install --quiet --disable-pip-version-check \
	  -r requirements.txt >&2
	@$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
	  --no-build-isolation $(foreach package,$(PACKAGES),-e packages/$(package)) -e platform >&2
	@touch $@

format: setup  ## Formats all code.
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup  ## Checks format, style and types.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy $(SOURCES)

test: setup  ## Runs the tests.
	$(BIN)/python -m pytest -n $(TEST_WORKERS) $(TEST_ARGS)

demo: setup  ## Runs one job of many tasks through a small fleet.
	$(BIN)/python -m sardineroute_standins.main demo

up: setup  ## Keeps a small fleet on loopback until interrupted.
	@exec $(BIN)/python -m sardineroute_standins.main up $(FLEET_ARGS)

bench: setup  ## Measures against the bounds of the design.
	$(BIN)/python -m sardineroute_standins.main bench $(BENCH_ARGS)

soak: setup  ## Injects random faults for MINUTES with SEED.
	$(BIN)/python -m sardineroute_standins.main soak --seed $(SEED) --minutes $(MINUTES)

clean:  ## Removes what the targets made.
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis out
