#!/bin/sh
# What the cases 6 to 10 need beside `build` of deploy/balancer.toml: the libraries of the optional parts, in the same
# environment. The stand-ins (review/harness2) are Python on the standard library alone; compiling them checks them.
set -e
cd "$(dirname "$0")/.."
.venv/bin/pip -q install -r requirements-fleet.txt
.venv/bin/python -m compileall -q review/harness2 review/6 review/7 review/8 review/9 review/10
