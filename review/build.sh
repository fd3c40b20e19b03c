#!/bin/sh
# Builds the stand-ins of the cases. They need only the Python that the deploy
# file's commands need, and its standard library.
set -eu
cd "$(dirname "$0")"
for source in lib/*.py [1-9]/*.py; do
    [ -f "$source" ] && python3 -m py_compile "$source"
done
