#!/bin/bash
# Prepares the stand-ins, which are Python without dependencies of their own: they need the packages
# that the build of the deploy file puts under target/deps.
set -e
cd "$(dirname "$0")"
PYTHONPATH=../target/deps python3 -c 'import cbor2'
python3 -m compileall -q lib
