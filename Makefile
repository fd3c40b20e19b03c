# The two commands of the README: `make demo` and `make test`.
PYTHON ?= python3
BIN := .venv/bin
READY := .venv/ready

.PHONY: demo demo-check test lint format soak soak-breaks slopes measure lock
.PHONY: clean

$(READY): requirements.lock pyproject.toml packages/*/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
	    -e packages/common -e packages/daemon -e packages/client
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m tools.demo examples/peachtree

demo-check: $(READY)
	$(BIN)/python -m tools.demo examples/peachtree --check

test: $(READY)
	$(BIN)/python -m tools.known_red

# Options as `make soak SEEDS=50 FIRST=1 JOBS=3`; FIRST is drawn without it.
# SCALE=6 makes runs of 18 entry instances and 36 servers.
SEEDS ?= 8
JOBS ?= 2
SCALE ?= 1
soak: $(READY)
	CAMPHORHOOK_SOAK_SCALE=$(SCALE) $(BIN)/python -m tests.soak --seeds=$(SEEDS) --jobs=$(JOBS) \
	    $(if $(FIRST),--first=$(FIRST))

soak-breaks: $(READY)
	$(BIN)/python -m tests.soak.breaks --jobs=$(JOBS)

lint: $(READY)
	$(BIN)/black --quiet --check --diff packages tests tools
	$(BIN)/flake8 packages tests tools

format: $(READY)
	$(BIN)/black --quiet packages tests tools

slopes: $(READY)
	$(BIN)/python -m tools.slopes

measure: $(READY)
	$(BIN)/python -m tools.measure

lock:
	uv pip compile --quiet --generate-hashes --no-emit-index-url \
	    --no-emit-find-links --no-emit-package camphorhook \
	    --no-emit-package camphorhook-common \
	    --no-emit-package camphorhook-daemon \
	    --all-extras -o requirements.lock pyproject.toml

clean:
	rm -rf .venv run
