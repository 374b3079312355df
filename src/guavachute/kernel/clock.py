"""A monotonic clock that includes time in which the VM is suspended."""

import time


def now_s() -> float:
    """Seconds since the VM booted, including time in suspension.

    ``time.monotonic`` stops while the VM is suspended, so a lease held
    before would seem valid afterwards. A hypervisor may stop this clock
    too. An endpoint is then protected by the fencing number, or because
    an order only states a desired state.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
