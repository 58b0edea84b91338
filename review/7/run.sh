#!/usr/bin/env bash
# All nodes restart after the store was restored: exits with 1 if rule RECOVER was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 play.py
