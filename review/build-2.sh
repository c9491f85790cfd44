#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start. Run it from any folder, after `build` of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q --invalidation-mode checked-hash review/standins2
