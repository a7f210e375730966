#!/usr/bin/env bash
# The stand-ins of this review need nothing but Python's standard library: this checks
# that they can be compiled, and writes nothing.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins_3.py 1[1-5]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
