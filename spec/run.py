"""Checks all models: ``./build.sh spec``."""

import concurrent.futures
import sys
import time

from spec import checking
from spec import claims_model
from spec import duty_model
from spec import era_model
from spec import fold_model
from spec import lease_model
from spec import quota_model
from spec import retry_model

WORKERS = 4


def all_models() -> list[checking.Model]:
    """Return the models of the real rules, each followed by its variants."""
    return [
        *fold_model.models(),
        *lease_model.models(),
        *claims_model.models(),
        *duty_model.models(),
        *era_model.models(),
        *retry_model.models(),
        *quota_model.models(),
    ]


def check_number(number: int) -> checking.Report:
    """Check the model at index *number*.

    The index is passed because a model can't be pickled for a worker.
    """
    return checking.check(all_models()[number])


def main() -> int:
    """Check all models and return the exit status.

    It is 0 if the real rules hold and each faulty variant is detected.
    """
    began_s = time.monotonic()
    numbers = range(len(all_models()))
    reports = []
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as workers:
        for report in workers.map(check_number, numbers):
            reports.append(report)
            print('\n'.join(report.lines), flush=True)
    print(f'{len(reports)} models in {time.monotonic() - began_s:.0f} s')
    unexpected = [report.name for report in reports if not report.as_expected]
    for name in unexpected:
        print(f'not as expected: {name}')
    return 1 if unexpected else 0


if __name__ == '__main__':
    sys.exit(main())
