#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python, the project's own of tests/platform_soak too, so that building
# them means to compile each file once without keeping the result.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins/*.py review/*/case.py tests/platform_soak/http_io.py tests/platform_soak/standins.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
