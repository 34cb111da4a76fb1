#!/bin/sh
# Builds what the cases 6 to 10 start: their stand-ins are Python modules of this folder, run with the
# interpreter that the deploy file's build has made.  They need no package beside the standard library.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/harness_2.py review/6 review/7 review/8 review/9 review/10
