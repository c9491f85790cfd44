PYTHON ?= python3

.PHONY: check scale
check:
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
	$(PYTHON) -m pytest -q

# What the node costs at the size of two years ahead: at most 10 minutes and 8 GB; see docs/CAPACITY.md.
scale:
	$(PYTHON) -m scale --json scale/figures.json
