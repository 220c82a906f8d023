#!/bin/sh
# Builds the stand-ins of the second review's cases: one module of the standard library, with nothing to install.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m py_compile review/kit2/stand.py
