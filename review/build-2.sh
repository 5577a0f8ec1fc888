#!/bin/sh
# Builds the stand-ins of the second review's cases. They are Python and need only the libraries of the deploy file's
# build, so this checks that those are there and that each file compiles.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ]
PYTHONPATH=target/deps python3 -X pycache_prefix=target/pycache -c 'import aiohttp'
python3 -X pycache_prefix=target/pycache -m compileall -q review/standins_2 review/[4-8]
