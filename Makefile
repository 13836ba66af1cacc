PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: demo test check format

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[development]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m chivespoke demo

test: $(VENV)/.installed
	$(BIN)/python tools/tests.py

check: $(VENV)/.installed
	$(BIN)/ruff format --check chivespoke tools
	$(BIN)/flake8 chivespoke tools
	$(BIN)/mypy

format: $(VENV)/.installed
	$(BIN)/ruff format chivespoke tools
