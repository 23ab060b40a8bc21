#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. Nothing is fetched: they are
# plain Python of the standard library.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/standins2 review/6 review/7 review/8 review/9 review/10
