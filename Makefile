PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# Workers of the test run. Most tests wait for processes, so that there may be
# more workers than cores; more than six start too many processes at once.
TEST_WORKERS ?= 6

.PHONY: test demo faults soak slopes losses movetimes logcost lint clean

test: lint
	$(BIN)/python -m pytest -q -n $(TEST_WORKERS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 sedgetide tests

demo: $(STAMP)
	$(BIN)/python -m sedgetide.testing.demo --output build/demo.json

faults: $(STAMP)
	$(BIN)/python -m sedgetide.testing.faultreport

soak: $(STAMP)
	$(BIN)/python -m sedgetide.testing.soak --first 1 --count 50 --jobs 4

slopes: $(STAMP)
	$(BIN)/python -m sedgetide.testing.slopes --output build/slopes.json

losses: $(STAMP)
	$(BIN)/python -m sedgetide.testing.losses --output build/losses.json

movetimes: $(STAMP)
	$(BIN)/python -m sedgetide.testing.movetimes --output build/movetimes.json

logcost: $(STAMP)
	$(BIN)/python -m sedgetide.testing.logcost --output build/logcost.json

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[test]'
	touch $@

clean:
	rm -rf $(VENV) build
