#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They
# are Python programs that need nothing else.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review
