#!/usr/bin/env bash
# Builds what the cases start beside the program: the stand-ins are plain Python files, compiled ahead.
# Case 2 serves MySQL, for which the project's own extra `mysql` is needed (docs/mysql.md, "Set up").  The build
# of the deploy file leaves it out; it is installed here from the pins of pyproject.toml if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
if ! .venv/bin/python -c 'import cryptography, msgspec, sqlglot' 2>/dev/null; then
    pins=$(.venv/bin/python - <<'PINS'
import tomllib

with open("pyproject.toml", "rb") as file:
    extras = tomllib.load(file)["project"]["optional-dependencies"]
print(*(pin for name in ("consul", "mysql") for pin in extras[name] if not pin.startswith("micadeck")))
PINS
    )
    # shellcheck disable=SC2086  # one word a pin
    .venv/bin/pip -q --disable-pip-version-check install $pins \
        || echo "review/build.sh: the extra mysql can't be installed: case 2 will end with exit code 2" >&2
fi
