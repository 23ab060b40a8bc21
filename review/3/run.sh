#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/3/case.py
