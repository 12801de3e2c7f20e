#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 can be run. They are written in Python and need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
