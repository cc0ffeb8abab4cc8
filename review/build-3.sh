#!/bin/sh
# Builds the stand-ins of the third review's scripts: Python modules of the
# standard library alone, which are checked by compiling them.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
cd "$here/.." || exit 1
[ -x target/bin/python3 ] || { echo "build the deploy file first"; exit 1; }
target/bin/python3 - <<'END'
import glob
import sys

for path in sorted(glob.glob("review/stand_ins_3/*.py") + glob.glob("review/1[1-5]/*.py")):
    with open(path, encoding="utf-8") as file:
        try:
            compile(file.read(), path, "exec")
        except SyntaxError as error:
            sys.exit(f"{path}: {error}")
END
