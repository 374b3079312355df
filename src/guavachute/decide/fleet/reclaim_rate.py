"""How often VMs of one offer are reclaimed, and how sure that is.

Reclaims are counted against the VM hours in which they were seen. With a
Gamma prior the posterior of a Poisson rate is a Gamma again; planning
uses an upper quantile of it, so that an offer without observations is
priced as risky and earns trust only by hours without reclaims.

A wave that takes a whole failure domain is counted apart, against the
hours in which the domain was watched: it is one event, but it takes each
of the domain's VMs. That the domain goes at once is a constraint of
:mod:`guavachute.decide.fleet.market`; here it only adds to the expected cost.
"""

import dataclasses
import math
import statistics

SECONDS_PER_HOUR = 3600.0
PRIOR_EVENTS = 1.0
PRIOR_VM_HOURS = 10.0
PRIOR_WAVE_HOURS = 24.0
"""The prior: as if one reclaim in ten VM hours had been seen, and one
wave in a day."""
UPPER_QUANTILE = 0.9
MEMORY_HALF_LIFE_S = 7 * 24 * SECONDS_PER_HOUR
WAVE_FRACTION = 0.5
"""From this part of a domain's VMs on, a loss is a wave."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """What was seen of one offer, old observations weighing less.

    :ivar reclaims: discounted number of reclaims of single VMs
    :ivar vm_hours: discounted VM time under observation
    :ivar waves: discounted number of waves
    :ivar hours: discounted time with any VM under observation
    :ivar at_s: when all were last brought up to date
    """

    reclaims: float = 0.0
    vm_hours: float = 0.0
    waves: float = 0.0
    hours: float = 0.0
    at_s: float = 0.0


def advance(observed: Observed, running: int, now_s: float) -> Observed:
    """Account for *running* VMs having run since the last update."""
    elapsed_s = max(0.0, now_s - observed.at_s)
    elapsed_hours = elapsed_s / SECONDS_PER_HOUR
    keep = 0.5 ** (elapsed_s / MEMORY_HALF_LIFE_S)
    watched_hours = elapsed_hours if running else 0.0
    return Observed(
        reclaims=observed.reclaims * keep,
        vm_hours=observed.vm_hours * keep + running * elapsed_hours,
        waves=observed.waves * keep,
        hours=observed.hours * keep + watched_hours,
        at_s=now_s,
    )


def reclaimed(
    observed: Observed, lost: int, running: int, now_s: float
) -> Observed:
    """Account for *lost* of *running* VMs being reclaimed together."""
    current = advance(observed, running, now_s)
    if lost > 1 and lost >= WAVE_FRACTION * running:
        return dataclasses.replace(current, waves=current.waves + 1)
    return dataclasses.replace(current, reclaims=current.reclaims + lost)


def mean_per_vm_hour(observed: Observed) -> float:
    """The posterior mean of the rate at which a VM is reclaimed."""
    single = observed.reclaims + PRIOR_EVENTS
    wave = observed.waves + PRIOR_EVENTS
    return single / (observed.vm_hours + PRIOR_VM_HOURS) + wave / (
        observed.hours + PRIOR_WAVE_HOURS
    )


def upper_per_vm_hour(
    observed: Observed, quantile: float = UPPER_QUANTILE
) -> float:
    """A bound for the rate at which a VM is reclaimed.

    Single reclaims and waves each stay under their part of it with
    probability *quantile*.
    """
    single = _gamma_quantile(observed.reclaims + PRIOR_EVENTS, quantile)
    wave = _gamma_quantile(observed.waves + PRIOR_EVENTS, quantile)
    return single / (observed.vm_hours + PRIOR_VM_HOURS) + wave / (
        observed.hours + PRIOR_WAVE_HOURS
    )


def _gamma_quantile(shape: float, quantile: float) -> float:
    """The quantile of a Gamma distribution of rate 1.

    Wilson and Hilferty's, which is within two in a hundred for the
    shapes of at least one that the prior guarantees.
    """
    normal = statistics.NormalDist().inv_cdf(quantile)
    ninth = 1 / (9 * shape)
    return shape * (1 - ninth + normal * math.sqrt(ninth)) ** 3
