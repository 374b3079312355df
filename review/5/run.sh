#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")"
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
