#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10. They are plain Python
# without dependencies: each file is compiled, and nothing is fetched or written.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c '
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
' review/mesh2.py review/[6-9]/run.py
