#!/bin/sh
# Puts the libraries and the compiled package where the platform looks for them.
set -eu
deps=target/deps
if [ "$deps/.libraries" -ot deploy/requirements.txt ] || [ ! -e "$deps/.libraries" ]; then
    python3 -m pip install -q --disable-pip-version-check -U --target "$deps" -r deploy/requirements.txt
    touch "$deps/.libraries"
fi
rm -rf "$deps/siskinshift"
cp -R src/siskinshift "$deps/siskinshift"
# A node that compiles at its start serves nobody meanwhile.
python3 -m compileall -q "$deps"
