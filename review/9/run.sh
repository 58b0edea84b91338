#!/usr/bin/env bash
# A request sent again to an endpoint that leaves: exits with 1 if rule DRAIN was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 play.py
