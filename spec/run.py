"""Checks all models: ``./build.sh spec``."""

import sys
import time

from spec import checking
from spec import fold_model
from spec import lease_model


def main() -> int:
    """0 when the real rules hold and each broken variant is caught."""
    began_s = time.monotonic()
    models = [*fold_model.models(), *lease_model.models()]
    wrong = [model.name for model in models if not checking.check(model)]
    print(f'{len(models)} models in {time.monotonic() - began_s:.0f} s')
    for name in wrong:
        print(f'wrong: {name}')
    return 1 if wrong else 0


if __name__ == '__main__':
    sys.exit(main())
