VENV := .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SITE ?= bagmati
SEEDS ?= 1-50

export PYTHONPATH := src:.

.PHONY: setup test check demo bench soak capacity clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

test: setup
	$(BIN)/python -m pytest

check: setup
	$(BIN)/black --check --quiet src tests bench demo soak
	$(BIN)/ruff check --quiet src tests bench demo soak
	$(BIN)/mypy
	$(BIN)/lint-imports

demo: setup
	$(BIN)/python -m demo.run --site=$(SITE)

bench: setup
	$(BIN)/python -m bench.run_all

soak: setup
	$(BIN)/python -m soak --seeds=$(SEEDS) --jobs=2

capacity: setup
	$(BIN)/python -m bench.capacity --write

clean:
	rm -rf $(VENV) .mypy_cache .pytest_cache .ruff_cache .hypothesis
