#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: checks that they compile.
# They use the standard library only.
set -e
cd "$(dirname "$0")"
python3 -B -c '
import pathlib
for path in sorted(pathlib.Path("standins_3").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiled", path)
'
