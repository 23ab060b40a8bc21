#!/bin/sh
# Builds the stand-ins of the cases, after the line `build` of deploy/balancer.toml. They are Python programs that use
# the standard library alone, so that there is nothing to fetch: this only compiles and imports them.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || exit 1
.venv/bin/python -m compileall -q review || exit 1
PYTHONPATH=. .venv/bin/python -c "import review.standins.bad_client, review.standins.case, review.standins.store"
