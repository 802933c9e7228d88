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
cp -R src/siskinshift "$new"
find "$new" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q -s "$new" -p siskinshift "$new"
if [ -e "$deps/siskinshift" ]; then
    mv "$deps/siskinshift" "target/old-$$"
fi
mv "$new" "$deps/siskinshift"
rm -rf target/old-*
