#!/bin/sh
# Builds the stand-ins of the review: those of the project by the build of its deploy
# file, and the review's own, which are Python and need no more than a check.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
PYTHONPATH=target/deps:review python3 -S -m compileall -q review
PYTHONPATH=target/deps:review python3 -S -c "import standins.case"
