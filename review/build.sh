#!/bin/sh
# Prepares the review's cases after the build of deploy/balancer.toml. They need nothing beside it: the stand-ins are plain
# Python, run by the same environment, and are compiled here.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q brackenpulley review
