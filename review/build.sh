#!/bin/sh
# Prepares the review's cases after the build of deploy/balancer.toml: the libraries that the project's optional parts
# need (its own requirement files, nothing else), and the stand-ins, which are plain Python and are compiled here.
set -eu
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c "import cryptography, lmdb, msgspec, rich, xxhash" 2>/dev/null; then
  .venv/bin/pip -q install -r requirements-fleet.txt
fi
.venv/bin/python -m compileall -q brackenpulley review
