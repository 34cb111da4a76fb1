#!/usr/bin/env bash
# Builds what the cases 6 to 10 start: their stand-ins are Python modules of this folder (case 7 uses mysql_stage.py
# of the earlier review), run with the interpreter that the deploy file's build has made; they use the standard
# library alone.  In the cases 7 and 10 the program serves MySQL, for which it needs its own extra `mysql`
# (docs/mysql.md, "Set up").  The build of the deploy file leaves that out; it is installed here from the pins of
# pyproject.toml if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
if ! .venv/bin/python -c 'import cryptography, msgspec, sqlglot' 2>/dev/null; then
    pins=$(.venv/bin/python -c '
import tomllib
extras = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
print(*(pin for name in ("consul", "mysql") for pin in extras[name] if not pin.startswith("micadeck")))
')
    # shellcheck disable=SC2086  # one word a pin
    .venv/bin/pip -q --disable-pip-version-check install $pins \
        || echo "review/build-2.sh: the extra mysql can't be installed: cases 7 and 10 will end with exit code 2" >&2
fi
