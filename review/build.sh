#!/usr/bin/env bash
# Builds every stand-in that a script starts. They are Python files without
# dependencies, so that only their syntax is checked here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/*.py <<'PY'
import ast
import sys
import tomllib  # needed by the stand-ins: Python 3.11 or newer

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
