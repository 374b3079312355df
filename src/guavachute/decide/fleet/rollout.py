"""Rolling a new version of a model out in steps, and stopping it.

A step lets the new version onto more engines. The next step is taken
when the engines of this one serve and enough requests ran on them. When
the new version fails more often than the old one, beyond what chance
explains, the roll-out stops and the engines go back; it stays stopped
until the document names another version.
"""

import dataclasses
import enum
import math

from guavachute import ids

STEP_FRACTIONS = (0.0, 0.1, 0.5, 1.0)
"""Part of the engines with the new version; at least one engine."""
MIN_REQUESTS = 50
MIN_ERRORS = 3
SOAK_S = 120.0
QUIET_SOAK_S = 1800.0
"""With fewer requests than the minimum, a step ends after this time."""
TOLERATED_ERROR_RATE = 0.01
CONFIDENCE_DEVIATIONS = 1.64


class Progress(enum.Enum):
    """Where a roll-out stands."""

    RUNNING = 'running'
    DONE = 'done'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """The roll-out of one version of one model.

    :ivar step: index into :data:`STEP_FRACTIONS`
    :ivar since_s: when the engines of this step all served; None before
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
    """What ran on the engines of one version during this step."""

    requests: int = 0
    errors: int = 0


def begin(model: ids.ModelName, old_version: str, new_version: str) -> Rollout:
    """A roll-out at its first step."""
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
    """The roll-out after a look at both versions.

    :param engines: that the model has in all
    :param serving_new: of these, with the new version loaded
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
    """Whether the new version fails more often, beyond chance.

    The lower bound of the new rate is set against the upper bound of the
    old one. A single error of a first step doesn't decide; a broken
    version is stopped after a handful.
    """
    if new.errors < MIN_ERRORS:
        return False
    _, old_high = _interval(old)
    if not old.requests:
        old_high = 0.0
    new_low, _ = _interval(new)
    return new_low > max(old_high, TOLERATED_ERROR_RATE)


def _interval(health: Health) -> tuple[float, float]:
    """Wilson's interval of the error rate."""
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
