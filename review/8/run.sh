#!/usr/bin/env bash
# Two holders of a client account's limit: exits with 1 if rule QUOTA was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 play.py
