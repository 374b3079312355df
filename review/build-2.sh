#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start: Python sources
# of the repository, run with the packages that the deploy file's build has
# put into target/deps. Nothing is fetched.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export PYTHONPATH=src:target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import sys

assert sys.version_info >= (3, 11), 'Python 3.11 or later is needed'
import guavachute.standin.platform.engine  # noqa: F401
import guavachute.standin.platform.store  # noqa: F401

for name in (
    'review/deployment2.py',
    'review/platform2.py',
    'review/standins.py',
):
    with open(name) as source:
        compile(source.read(), name, 'exec')
PYTHON
