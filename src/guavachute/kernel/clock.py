"""The clock for spans that must include the sleep of the VM."""

import time


def now_s() -> float:
    """Seconds since the start of the VM, those asleep included.

    ``time.monotonic`` stands still while the VM is suspended, and a
    lease that was held before would seem to be valid after it. A
    hypervisor may still stop this clock as well; what then protects an
    endpoint is the fencing number or an order that only states a wish.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
