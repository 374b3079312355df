"""How often VMs of one offer are reclaimed, and how sure that is.

Reclaims are counted against the VM hours in which they were seen. With a
Gamma prior the posterior of a Poisson rate is a Gamma again; planning
uses an upper quantile of it, so that an offer without observations is
priced as risky and earns trust only by hours without reclaims.

A wave that takes a whole failure domain is *one* event of that domain,
not one for each VM; the rate of single VMs is what remains. Losing the
domain is a constraint of :mod:`guavachute.decide.market`, not a price.
"""

import dataclasses
import math
import statistics

SECONDS_PER_HOUR = 3600.0
PRIOR_RECLAIMS = 1.0
PRIOR_VM_HOURS = 10.0
"""The prior: as if one reclaim in ten VM hours had been seen."""
UPPER_QUANTILE = 0.9
MEMORY_HALF_LIFE_S = 7 * 24 * SECONDS_PER_HOUR
WAVE_FRACTION = 0.5
"""From this part of a domain's VMs on, a loss is a wave."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """What was seen of one offer, old observations weighing less.

    :ivar reclaims: discounted number of reclaim events
    :ivar vm_hours: discounted time under observation
    :ivar at_s: when the two were last brought up to date
    """

    reclaims: float = 0.0
    vm_hours: float = 0.0
    at_s: float = 0.0


def advance(observed: Observed, running: int, now_s: float) -> Observed:
    """Account for *running* VMs having run since the last update."""
    elapsed_s = max(0.0, now_s - observed.at_s)
    keep = 0.5 ** (elapsed_s / MEMORY_HALF_LIFE_S)
    return Observed(
        reclaims=observed.reclaims * keep,
        vm_hours=observed.vm_hours * keep
        + running * elapsed_s / SECONDS_PER_HOUR,
        at_s=now_s,
    )


def reclaimed(
    observed: Observed, lost: int, running: int, now_s: float
) -> Observed:
    """Account for *lost* of *running* VMs being reclaimed together."""
    current = advance(observed, running, now_s)
    is_wave = lost > 1 and lost >= WAVE_FRACTION * running
    events = 1 if is_wave else lost
    return dataclasses.replace(current, reclaims=current.reclaims + events)


def mean_per_vm_hour(observed: Observed) -> float:
    """The posterior mean of the rate."""
    shape = observed.reclaims + PRIOR_RECLAIMS
    return shape / (observed.vm_hours + PRIOR_VM_HOURS)


def upper_per_vm_hour(
    observed: Observed, quantile: float = UPPER_QUANTILE
) -> float:
    """A bound that the rate stays under with probability *quantile*.

    The quantile of the Gamma posterior is that of Wilson and Hilferty,
    which is within two in a hundred for the shapes of at least one that
    the prior guarantees.
    """
    shape = observed.reclaims + PRIOR_RECLAIMS
    normal = statistics.NormalDist().inv_cdf(quantile)
    ninth = 1 / (9 * shape)
    cube = (1 - ninth + normal * math.sqrt(ninth)) ** 3
    return shape * cube / (observed.vm_hours + PRIOR_VM_HOURS)
