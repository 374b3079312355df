"""Estimates how often VMs of one offer are reclaimed.

Reclaims are counted against the VM hours in which they were observed.
With a Gamma prior, the posterior of a Poisson rate is a Gamma
distribution as well. Planning uses an upper quantile of it, so that an
offer without observations counts as risky until enough hours without
reclaims were observed.

A wave, which reclaims a large part of a failure domain at once, is
counted separately, against the hours in which the domain was observed:
it is one event that may take every VM of the domain. Surviving such a
loss is a constraint of :mod:`guavachute.decide.fleet.market`; here a wave
only adds to the expected cost.
"""

import dataclasses
import math
import statistics

SECONDS_PER_HOUR = 3600.0
PRIOR_EVENTS = 1.0
PRIOR_VM_HOURS = 10.0
PRIOR_WAVE_HOURS = 24.0
"""The prior equals one reclaim observed in ten VM hours and one wave
observed in a day."""
UPPER_QUANTILE = 0.9
MEMORY_HALF_LIFE_S = 7 * 24 * SECONDS_PER_HOUR
WAVE_FRACTION = 0.5
"""A loss of at least this fraction of a domain's VMs is a wave."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """Observations of one offer, discounted exponentially by age.

    :ivar reclaims: number of VMs reclaimed outside of waves
    :ivar vm_hours: VM time under observation
    :ivar waves: number of waves
    :ivar hours: time with at least one VM under observation
    :ivar at_s: the time to which the other fields are discounted
    """

    reclaims: float = 0.0
    vm_hours: float = 0.0
    waves: float = 0.0
    hours: float = 0.0
    at_s: float = 0.0


def advance(observed: Observed, running: int, now_s: float) -> Observed:
    """The observations at *now_s*; *running* VMs ran since ``at_s``."""
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


def record_reclaims(
    observed: Observed, lost: int, running: int, now_s: float
) -> Observed:
    """The observations after *lost* of *running* VMs were reclaimed.

    VMs that were lost together are given in one call.
    """
    current = advance(observed, running, now_s)
    if lost > 1 and lost >= WAVE_FRACTION * running:
        return dataclasses.replace(current, waves=current.waves + 1)
    return dataclasses.replace(current, reclaims=current.reclaims + lost)


def mean_per_vm_hour(observed: Observed) -> float:
    """The posterior mean of the reclaims per VM hour, waves included."""
    single = observed.reclaims + PRIOR_EVENTS
    wave = observed.waves + PRIOR_EVENTS
    return single / (observed.vm_hours + PRIOR_VM_HOURS) + wave / (
        observed.hours + PRIOR_WAVE_HOURS
    )


def upper_per_vm_hour(
    observed: Observed, quantile: float = UPPER_QUANTILE
) -> float:
    """An upper bound of the reclaims per VM hour, waves included.

    It is the sum of two bounds: the rates of single reclaims and of waves
    each stay below theirs with probability *quantile*.
    """
    single = _gamma_quantile(observed.reclaims + PRIOR_EVENTS, quantile)
    wave = _gamma_quantile(observed.waves + PRIOR_EVENTS, quantile)
    return single / (observed.vm_hours + PRIOR_VM_HOURS) + wave / (
        observed.hours + PRIOR_WAVE_HOURS
    )


def _gamma_quantile(shape: float, quantile: float) -> float:
    """The quantile of a Gamma distribution of rate 1.

    Uses the Wilson-Hilferty approximation, whose error is within 2% for
    shapes of at least 1, which the prior guarantees.
    """
    normal = statistics.NormalDist().inv_cdf(quantile)
    ninth = 1 / (9 * shape)
    return shape * (1 - ninth + normal * math.sqrt(ninth)) ** 3
