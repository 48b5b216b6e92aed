#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts. All of them are
# Python modules that run inside the test's process; this checks that the
# interpreter, which tools/lint needs too, can load them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [0-9]*/test.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
