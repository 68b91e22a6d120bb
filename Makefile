VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
.DEFAULT_GOAL := help
.PHONY: soak help setup format lint test demo ci thrift bench-online bench-online-whole bench-path prove prove-mutants prove-mutants-smoke bench-control bench-batch

help: ## list the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps -e .
	touch $(STAMP)

setup: $(STAMP) ## install from the lock into .venv

format: $(STAMP) ## rewrite the sources in the house format
	$(VENV)/bin/ruff check --fix parsleyrouter features tools examples benches soak
	$(VENV)/bin/black --quiet parsleyrouter features tools examples benches soak

lint: $(STAMP) ## check format, lint and types
	$(VENV)/bin/black --quiet --check parsleyrouter features tools examples benches soak
	$(VENV)/bin/ruff check parsleyrouter features tools examples benches soak
	$(VENV)/bin/mypy

test: $(STAMP) ## set up and run every test
	$(PYTHON) tools/run_tests.py

soak: $(STAMP) ## play a few seeded faults against real processes
	$(PYTHON) -m soak many 3 --first 1 --jobs 4
	$(PYTHON) -m soak many 3 --first 9501 --jobs 3 --no-kept --engine-processes 4 --faults-s 15

demo: $(STAMP) ## set up and run the whole system on embedded stand-ins
	$(VENV)/bin/parsley-dev demo

bench-path: $(STAMP) ## measure what an entry adds to a streamed answer
	$(PYTHON) benches/path.py --profile

bench-online: $(STAMP) ## measure sharing on both scenarios, results in out/
	$(VENV)/bin/parsley-load run scenarios/nkabom.toml --rounds 3
	$(VENV)/bin/parsley-load run scenarios/ardoise.toml --rounds 3

bench-control: $(STAMP) ## measure settings and membership over the number of nodes
	$(PYTHON) benches/control_processes.py
	$(PYTHON) benches/control.py

bench-online-whole: $(STAMP) ## measure sharing over real processes, results in out/
	$(PYTHON) benches/sharing_processes.py scenarios/nkabom.toml

bench-batch: $(STAMP) ## measure batch jobs, takeover and ways to keep chunks
	$(PYTHON) benches/batch.py
	$(PYTHON) benches/storage.py

ci: ## what CI runs
	bash .ci/run

thrift: ## regenerate the committed thrift code
	for f in thrift/*.thrift; do thrift --gen py -out parsleyrouter/thrift_gen $$f; done

prove: $(STAMP) ## run the proofs of the promises and print a line for each
	$(PYTHON) tools/prove.py

prove-mutants: $(STAMP) ## show that the checks can fail
	$(PYTHON) tools/mutants.py

prove-mutants-smoke: $(STAMP) ## show for a few checks that they can fail
	$(PYTHON) tools/mutants.py --smoke
