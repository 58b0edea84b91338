#!/usr/bin/env bash
# The stand-ins are Python programs with the standard library alone; there is nothing to compile. Checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.py [0-9]*/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
