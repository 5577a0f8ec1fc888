#!/bin/sh
# Builds the stand-ins of the cases: they are plain Python on the libraries in target/deps, so they are only compiled.
cd "$(dirname "$0")/.." || exit 2
exec python3 -X pycache_prefix=target/review-pycache -m compileall -q review
