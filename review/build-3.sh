#!/usr/bin/env bash
# Checks all that the scripts of review/11 to review/15 start besides target/sp-entry. The stand-ins are Python without
# packages of its own, so nothing has to be installed; they are compiled into a temporary folder.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
python3 - "$folder" <<'CHECK'
import asyncio
import py_compile
import sys
from pathlib import Path

if sys.version_info < (3, 11):  # tomllib, asyncio.timeout
    sys.exit("Python 3.11 or later is needed")
files = [Path("tests/platform_soak") / name for name in ("http_io.py", "standins.py")]
files += [Path("review/standins-3/cell.py"), *sorted(Path("review").glob("1[1-5]/case.py"))]
for number, file in enumerate(files):
    py_compile.compile(str(file), cfile=f"{sys.argv[1]}/{number}.pyc", doraise=True)
print(f"{len(files)} files of the stand-ins and cases compiled")
CHECK
