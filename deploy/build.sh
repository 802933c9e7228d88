#!/bin/sh
# Installs the libraries and the compiled package where the platform expects them.
set -eu
deps=target/deps
if [ ! -e "$deps/.libraries" ] || [ "$deps/.libraries" -ot deploy/requirements.txt ]; then
    python3 -m pip install -q --disable-pip-version-check -U --target "$deps" -r deploy/requirements.txt
    # Byte-compiles at build time: a node cannot serve while it compiles at start-up.
    python3 -m compileall -q "$deps"
    touch "$deps/.libraries"
fi
# Builds the new package in a separate directory and moves it into place when it is
# complete: a process that starts during another build must find a whole package.
new="target/new-$$"
rm -rf "$new"
mkdir -p "$new"
cp -R src/siskinshift "$new/siskinshift"
find "$new" -name __pycache__ -prune -exec rm -rf {} +
# Generates the methods of the attrs classes at build time, which halves the processor
# time of a node's start-up.
PYTHONPATH="$deps" python3 tools/compile_records.py "$new"
python3 -m compileall -q -s "$new" "$new"
if [ -e "$deps/siskinshift" ]; then
    mv "$deps/siskinshift" "target/old-$$"
fi
mv "$new/siskinshift" "$deps/siskinshift"
rm -rf "$new" target/old-*
