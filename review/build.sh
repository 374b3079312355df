#!/usr/bin/env bash
# The stand-ins need only Python's standard library. This checks that they can
# be compiled, and that the build of the deploy file has run.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or newer is needed')
for source in [pathlib.Path('standins.py'), *pathlib.Path('.').glob('*/*.py')]:
    compile(source.read_text(), str(source), 'exec')
if not pathlib.Path('../target/deps').is_dir():
    sys.exit('run the build of deploy/system.toml first')
PYTHON
