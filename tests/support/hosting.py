"""Running a task for the length of a test."""

import typing
import unittest

from guavachute.kernel import task

STOP_TIMEOUT_S = 20

Hosted = typing.TypeVar('Hosted', bound=task.Task)


def host(case: unittest.TestCase, service: Hosted) -> Hosted:
    """Start *service*; it ends with the test *case*."""
    service.start()
    case.addCleanup(service.join, STOP_TIMEOUT_S)
    case.addCleanup(service.request_stop)
    return service
