#!/usr/bin/env bash
# Builds the stand-ins of the cases: plain Python files, compiled ahead so that a fault in them shows here.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
