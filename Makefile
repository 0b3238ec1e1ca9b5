# `make run`: a demo fleet on loopback. `make test`: everything that CI checks. Both set up .venv first.
PY := .venv/bin/python
STAMP := .venv/installed-dev.txt

.PHONY: run platform test test-fleet setup badday bench clean

run: setup
	$(PY) -m heathwell fleet up --config examples/market.sx --ready-file .venv/demo.json --demo

platform: setup
	$(PY) -m heathwell platform

test: setup
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy
	$(PY) -m pytest -q -n 6

test-fleet: setup
	$(PY) -m pytest -q -n 6 -m fleet

badday: setup
	$(PY) -m heathwell badday examples/badday.sx

bench: setup
	$(PY) benchmarks/costs.py

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip -q install -r requirements.txt -r requirements-dev.txt
	$(PY) -m pip -q install --no-deps -e .
	cat requirements.txt requirements-dev.txt > $(STAMP)
	cp requirements.txt .venv/installed.txt

clean:
	rm -rf run
