#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python of the standard library alone, so
# that there is only the syntax to check. The programs under test come from the
# build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - standins.py [0-9]*/*.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
print(f"{len(sys.argv) - 1} stand-in files compile")
PY
