"""Rolls out a new version of a model in steps, and stops on errors.

Each step allows the new version on more engines. The next step follows
when the engines of this one serve and have processed enough requests.
If the new version fails significantly more often than the old one, the
roll-out stops and the engines return to the old version. It stays
stopped until the document names another version.
"""

import dataclasses
import enum
import math

from guavachute import ids

STEP_FRACTIONS = (0.0, 0.1, 0.5, 1.0)
"""Fraction of engines with the new version, at least one, by step."""
MIN_REQUESTS = 50
MIN_ERRORS = 3
SOAK_S = 120.0
QUIET_SOAK_S = 1800.0
"""With fewer requests than the minimum, a step ends after this time."""
TOLERATED_ERROR_RATE = 0.01
CONFIDENCE_DEVIATIONS = 1.64


class Progress(enum.Enum):
    """Progress of a roll-out."""

    RUNNING = 'running'
    DONE = 'done'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """The roll-out of one version of one model.

    :ivar step: index into :data:`STEP_FRACTIONS`
    :ivar since_s: since when all engines of this step serve; None before
    :ivar reason: why it was stopped; otherwise empty
    """

    model: ids.ModelName
    old_version: str
    new_version: str
    step: int = 0
    progress: Progress = Progress.RUNNING
    since_s: float | None = None
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """Requests on the engines of one version in the present step."""

    requests: int = 0
    errors: int = 0


def begin(model: ids.ModelName, old_version: str, new_version: str) -> Rollout:
    """A new roll-out at its first step."""
    return Rollout(model, old_version, new_version)


def engines_allowed(rollout: Rollout, engines: int) -> int:
    """How many of *engines* may have the new version."""
    if rollout.progress is Progress.STOPPED:
        return 0
    if rollout.progress is Progress.DONE:
        return engines
    part = math.floor(STEP_FRACTIONS[rollout.step] * engines)
    return min(engines, max(1, part))


def advance(
    rollout: Rollout,
    old: Health,
    new: Health,
    engines: int,
    serving_new: int,
    now_s: float,
) -> Rollout:
    """The roll-out after evaluating the health of both versions.

    :param engines: all engines of the model
    :param serving_new: those with the new version loaded
    """
    if rollout.progress is not Progress.RUNNING:
        return rollout
    if is_worse(old, new):
        return dataclasses.replace(
            rollout, progress=Progress.STOPPED, reason=_comparison(old, new)
        )
    if serving_new < engines_allowed(rollout, engines):
        return rollout
    if rollout.since_s is None:
        return dataclasses.replace(rollout, since_s=now_s)
    soaked_s = now_s - rollout.since_s
    enough = new.requests >= MIN_REQUESTS and soaked_s >= SOAK_S
    if not enough and soaked_s < QUIET_SOAK_S:
        return rollout
    if rollout.step + 1 < len(STEP_FRACTIONS):
        return dataclasses.replace(
            rollout, step=rollout.step + 1, since_s=None
        )
    return dataclasses.replace(rollout, progress=Progress.DONE)


def is_worse(old: Health, new: Health) -> bool:
    """Whether the new version fails significantly more often.

    The lower bound of the new error rate is compared with the upper bound
    of the old one. At least :data:`MIN_ERRORS` errors are needed, so a
    single one doesn't stop a roll-out while a broken version is still
    stopped after a few.
    """
    if new.errors < MIN_ERRORS:
        return False
    _, old_high = _interval(old)
    if not old.requests:
        old_high = 0.0
    new_low, _ = _interval(new)
    return new_low > max(old_high, TOLERATED_ERROR_RATE)


def _interval(health: Health) -> tuple[float, float]:
    """The Wilson score interval of the error rate."""
    count = health.requests
    if not count:
        return 0.0, 1.0
    rate = health.errors / count
    squared = CONFIDENCE_DEVIATIONS**2
    centre = rate + squared / (2 * count)
    spread = CONFIDENCE_DEVIATIONS * math.sqrt(
        rate * (1 - rate) / count + squared / (4 * count**2)
    )
    scale = 1 + squared / count
    return max(0.0, (centre - spread) / scale), (centre + spread) / scale


def _comparison(old: Health, new: Health) -> str:
    return (
        f'{new.errors} of {new.requests} requests failed on the new '
        f'version, {old.errors} of {old.requests} on the old one'
    )
