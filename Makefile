VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup test lint check demo bench bench-consul bench-mysql bench-bodies bench-upgrade bench-fleet bench-incidents bench-view memory simulate soak sites

setup: $(BIN)/ruff

$(BIN)/ruff: pyproject.toml requirements.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -e '.[dev]'
	touch $(BIN)/ruff

# The second run by itself: what it measures are times, and full cores beside it make statements late.
TIMED = tests/test_mysql_error_mapping.py tests/test_mysql_proof.py tests/test_mysql_sessions.py
# By itself as well: each run is a dozen processes, judged by real time.
SOAK = tests/soak
test: setup
	$(BIN)/python -m pytest -n 5 $(TIMED:%=--ignore=%) --ignore=$(SOAK)
	$(BIN)/python -m pytest -n 3 $(TIMED)
	$(BIN)/python -m pytest $(SOAK)

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

check: lint test

# Stand-in servers, a stand-in roster and a sidecar on loopback, and a short mixed day through them.
demo: setup
	$(BIN)/python -m micadeck.stand_ins.demo

# Minutes on pinned cores, outside CI; what it prints stands in docs/library.md.
bench: setup
	$(BIN)/python benchmarks/library.py

# Two minutes: flips under load, long lists, sources at rest; what it prints stands in docs/consul.md.
bench-consul: setup
	$(BIN)/python benchmarks/consul_lists.py

# A minute on pinned cores: statements through the sidecar, a relay and directly; what it prints is in docs/mysql.md.
bench-mysql: setup
	$(BIN)/python benchmarks/mysql_wire.py

# Half a minute: large bodies both ways through a daemon; what it prints stands in docs/operators.md.
bench-bodies: setup
	$(BIN)/python benchmarks/bodies.py

# A minute: one process takes over from another under load; what it prints stands in docs/operators.md.
bench-upgrade: setup
	$(BIN)/python benchmarks/upgrade.py

# Half a minute: what many quiet sidecars cost servers and the roster; what it prints stands in docs/operators.md.
bench-fleet: setup
	$(BIN)/python benchmarks/fleet.py

# Two minutes: how soon the fleet's view settles, on a virtual clock; what it prints stands in docs/design/fleet.md.
bench-view: setup
	$(BIN)/python benchmarks/fleet_view.py

# Four minutes on eight cores: scripted days against the story that their records tell; docs/design/incidents.md.
bench-incidents: setup
	$(BIN)/python benchmarks/incidents.py

# Five minutes on eight cores: ten thousand days on the virtual clock; what it prints stands in docs/design/simulation.md.
simulate: setup
	$(BIN)/python -m micadeck.simulation run --seeds 0:10000

# Thirteen minutes: 41 hostile loads against the real daemon, and mixes of three; docs/design/memory.md.
memory: setup
	$(BIN)/python benchmarks/memory.py

# Ten minutes: real processes under overlapping faults, the rules as the oracle; FIRST:END of the seeds.
SEEDS ?= 1:51
soak: setup
	$(BIN)/python tests/soak/soak_run.py --seeds $(SEEDS)

# Lays beside the made-up customers of deploy/sites what the bench reads with them; none of it is the project's.
KIT ?= ../given/kit
sites:
	cp -f $(KIT)/more/mass/other/real.json $(KIT)/more/mass/other/wire.json $(KIT)/more/mass/other/unlock.txt deploy/sites/
