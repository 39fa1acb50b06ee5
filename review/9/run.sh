#!/bin/sh
exec python3 -B -W ignore "$(dirname "$0")/case.py"
