"""Runs a task for the duration of a test."""

import typing
import unittest

from guavachute.kernel import task

STOP_TIMEOUT_S = 20

Hosted = typing.TypeVar('Hosted', bound=task.Task)


def host(case: unittest.TestCase, service: Hosted) -> Hosted:
    """Start *service* and stop it when the test *case* ends."""
    service.start()
    case.addCleanup(service.join, STOP_TIMEOUT_S)
    case.addCleanup(service.request_stop)
    return service
