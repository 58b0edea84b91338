#!/usr/bin/env bash
# A planned stop of a node whose clients wait: exits with 1 if rule LOST was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 play.py
