#!/usr/bin/env bash
# Build the stand-ins of the cases review/4 and later: they are Python and need only the packages that the
# build of the deploy file has put under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib-2
PYTHONPATH=review/lib-2 python3 -c "import world"
