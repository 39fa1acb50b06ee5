#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python programs (review/standins-2, tests/platform_soak), so that
# there is nothing to compile. Checks that they can be read and that the program of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for name in glob.glob("review/standins-2/*.py") + glob.glob("review/*/case.py") + glob.glob("tests/platform_soak/*.py"):
    ast.parse(open(name).read(), name)
CHECK
test -x target/sp-entry || { echo "target/sp-entry is missing: run the build of deploy/system.toml first" >&2; exit 1; }
echo "stand-ins are ready"
