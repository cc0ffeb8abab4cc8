#!/bin/sh
# Builds the stand-ins of the second review. They need no libraries: compiling
# them shows that the interpreter of the deploy file's build can read them.
cd "$(dirname "$0")/.." || exit 1
exec target/bin/python3 -m compileall -q review/stand_ins_2
