# VENV may name an existing virtual environment to reuse.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
SECONDS ?= 10

.PHONY: install demo test format

$(VENV)/installed: pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --editable '.[test]'
	touch $@

install: $(VENV)/installed

demo: install
	$(VENV)/bin/monsoonline demo --seconds $(SECONDS)

test: install
	$(PYTHON) tools/run_checks.py

format: install
	$(PYTHON) -m ruff format src tests features tools
	$(PYTHON) -m ruff check --fix src tests features tools
