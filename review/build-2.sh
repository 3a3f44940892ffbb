#!/bin/sh
# Prepares the stand-ins that the scripts of cases 6 to 10 start. They are plain
# Python without dependencies, so there is nothing to compile or to install; the
# project's own programs come from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD" python3 -c '
import pathlib
import sys

assert sys.version_info >= (3, 11), sys.version
import standins_2.deployment
import standins_2.runner

deps = standins_2.deployment.REPOSITORY / "target" / "deps"
if not (deps / "sardinerouted").is_dir():
    sys.exit("run the build of deploy/system.toml first")
'
