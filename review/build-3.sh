#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python scripts that use
# its standard library only, so nothing is compiled; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import ast, glob, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sorted(glob.glob("standins-3/*.py") + glob.glob("1[1-5]/*.py")):
    ast.parse(open(path).read(), path)
    print(path, "ok")
END
