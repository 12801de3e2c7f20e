#!/usr/bin/env bash
# The stand-ins of the cases are Python 3 scripts that use the standard library only, so nothing is compiled. Checks
# that Python is there and reads them, and that the build of the deploy file has left the node program.
set -euo pipefail
cd "$(dirname "$0")"
for script in standins/*.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$script"
done
test -x ../target/bin/tamarackrelay
