"""When Linux gives an idle connection up, and which silence that survives.

Probes are sent once a connection was idle, and then at intervals until the
peer answers one. Without ``TCP_USER_TIMEOUT`` the connection ends after a
number of them; with it, the count means nothing: it ends at the first interval
after the timeout if a probe is unanswered. It does so without one more probe.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Keepalive:
    """The options of a connection.

    :ivar idle_s: time without traffic until the first probe
    :ivar interval_s: time between probes
    :ivar user_timeout_s: time without any answer until the connection ends
    """

    idle_s: float
    interval_s: float
    user_timeout_s: float

    @property
    def noticed_after_s(self) -> float:
        """How long after its last packet a silent peer is given up."""
        beyond_s = max(0.0, self.user_timeout_s - self.idle_s)
        intervals = max(1, math.ceil(beyond_s / self.interval_s))
        return self.idle_s + intervals * self.interval_s

    @property
    def survived_silence_s(self) -> float:
        """A peer that is silent for less than this is never given up.

        Its silence would have to last from the first probe to the last one.
        """
        return self.noticed_after_s - self.interval_s - self.idle_s
