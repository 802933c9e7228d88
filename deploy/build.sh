#!/bin/sh
# Puts the libraries and the compiled package where the platform looks for them.
set -eu
deps=target/deps
if [ ! -e "$deps/.libraries" ] || [ "$deps/.libraries" -ot deploy/requirements.txt ]; then
    python3 -m pip install -q --disable-pip-version-check -U --target "$deps" -r deploy/requirements.txt
    # A node that compiles at its start serves nobody meanwhile.
    python3 -m compileall -q "$deps"
    touch "$deps/.libraries"
fi
# The new package takes the old one's place in one step: a process that starts while
# another build runs must find a whole one.
new="target/new-$$"
rm -rf "$new"
mkdir -p "$new"
cp -R src/siskinshift "$new/siskinshift"
find "$new" -name __pycache__ -prune -exec rm -rf {} +
# The records of the nodes come with their methods written out: a node starts in half
# of the processor time.
PYTHONPATH="$deps" python3 tools/compile_records.py "$new"
python3 -m compileall -q -s "$new" "$new"
if [ -e "$deps/siskinshift" ]; then
    mv "$deps/siskinshift" "target/old-$$"
fi
mv "$new/siskinshift" "$deps/siskinshift"
rm -rf "$new" target/old-*
