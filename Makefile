# Every target sets up what it lacks. VENV names the virtual environment to use.
VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)/src
export PYTHONHASHSEED := 0

.PHONY: setup demo test lint format bench soak golden generate

$(VENV)/.installed: requirements/dev.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes --requirement requirements/dev.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

setup: $(VENV)/.installed

demo: setup
	$(BIN)/python -m cranberrymux.demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check src tests bench
	$(BIN)/ruff check src tests bench
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format src tests bench
	$(BIN)/ruff check --fix src tests bench

bench: setup
	$(BIN)/python -m bench

soak: setup
	$(BIN)/python -m tests.soak --first $$(date +%s) --seeds 5

golden: setup
	CRANBERRYMUX_REWRITE_GOLDEN=1 $(BIN)/python -m pytest tests/golden

# Needs the thrift compiler 0.17; the generated code is committed.
generate:
	rm -rf build/thrift && mkdir -p build/thrift
	thrift --gen py:twisted -out build/thrift src/cranberrymux/wire/cranberrymux.thrift
	thrift --gen py -out build/thrift src/cranberrymux/wire/consensus.thrift
	cp -r build/thrift/cranberrymux/wire/gen src/cranberrymux/wire/
	rm -f src/cranberrymux/wire/gen/*/*-remote
	# Unused there, and it imports the whole of twisted.web.
	sed -i '/import TTwisted$$/d' src/cranberrymux/wire/gen/messages/Control.py
