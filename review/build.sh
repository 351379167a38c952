#!/bin/sh
# Builds the stand-ins of the scripts: compiles them, which also checks them.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review
