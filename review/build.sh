#!/usr/bin/env bash
# Builds what the scripts of the review start. The stand-ins are Python files of the
# standard library, so they are only compiled, as a check.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
PY
