PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
FAULT_TESTS := $(addprefix tests/test_,faults.py cuts.py double_faults.py \
    lying_upstreams.py wayfarer_faults.py rest.py soak.py)
MACHINE_TESTS := $(addprefix tests/test_,homes_machine.py homes_under_faults.py \
    ticket_machine.py overload.py membership.py spread.py \
    connection_machine.py restore_machine.py lifetimes_machine.py)
READY := $(VENV)/.ready
# What the environment depends on: Python, processor and C library, the folder,
# and the requirements. Written to READY when the setup is complete.
STAMP := $(shell \
    $(PYTHON) -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))'; \
    pwd; cat requirements.lock pyproject.toml | cksum)

.PHONY: setup test check demo capacity faults machines soak
ifneq ($(STAMP),$(shell $(BIN)/python -c '' 2>&1 && cat $(READY) 2>&1))
.PHONY: $(READY)
endif

$(READY):
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	echo '$(STAMP)' >$(READY)

setup: $(READY)

test: $(READY)
	$(BIN)/python -m pytest -q -n $(or $(JOBS),4)

check: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

demo: $(READY)
	$(BIN)/python -m demo.run

faults: $(READY)
	FAULTS_LONG=1 FAULTS_SEED=$(or $(SEED),1) $(BIN)/python -m pytest -v --timeout 200 $(FAULT_TESTS)

machines: $(READY)
	HYPOTHESIS_PROFILE=long LYCHEEGLADE_EXAMPLES=$(or $(EXAMPLES),200) $(BIN)/python -m pytest -v --timeout 0 --hypothesis-seed=$(or $(SEED),1) $(MACHINE_TESTS)

capacity: $(READY)
	$(BIN)/python -m bench.capacity

soak: $(READY)
	$(BIN)/python -m soak --seed $(or $(SEED),1) --minutes $(or $(MINUTES),0.5) \
	    --rounds $(or $(ROUNDS),1) --jobs $(or $(JOBS),1)
