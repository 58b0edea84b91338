#!/usr/bin/env bash
# Checks what the scripts of review/6 to review/10 need. Their stand-ins are Python programs of standin-2 without
# dependencies, so nothing is compiled. The nodes come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed" >&2; exit 1; }
for file in review/standin-2/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -x target/limpetd-platform || { echo "target/limpetd-platform is missing: run the build of deploy/system.toml" >&2; exit 1; }
