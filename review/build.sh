#!/usr/bin/env bash
# Builds the stand-ins of all cases, after `build` of the deploy file. They need its Python and nothing else.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -m compileall -q review
