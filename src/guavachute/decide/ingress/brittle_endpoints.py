"""Room at endpoints that fall over if they have to reject many requests.

All nodes together may have only a few requests rejected, so each sends only
what it has reason to believe fits. Part of an endpoint's free slots is shared
out anew in each window, so that what the others have sent since their last
updates fits too: a node gets its part, and the remainder goes to nodes that
change with each window. Requests that find no room wait for a moment, or are
refused; an endpoint that has rejected one is left alone for a while.
"""

import typing

from guavachute.decide import rendezvous
from guavachute import ids

WINDOW_S = 0.25
"""Nodes tell each other as often how many requests they have where."""

SHARED_OUT = 1 / 3
"""Share of the free slots that is shared out in one window. What is known of
other nodes misses what they sent in up to three windows."""

SHORT_WORK_S = 0.1
"""Work of endpoints that takes less than this on average is short: the
requests that other nodes tell of have ended."""

RESERVED_SHARE = 0.05
"""Share of the slots, and at least one, that is never shared out: the nodes'
parts are drawn independently, and may add up to more."""

REJECTED_PAUSE_S = (0.5, 1.5)
"""Range of the time for which a node sends nothing to an endpoint that has
rejected a request of its own."""

FORGOTTEN_AFTER_S = 30.0
"""A service counts as brittle for this long after an endpoint said so last, if
no answer says otherwise."""


def allowed_sends(
    node: ids.NodeId,
    endpoint: ids.EndpointId,
    slots: int,
    running: int,
    nodes: int,
    now_s: float,
) -> int:
    """How many requests *node* may send in the present window.

    :param running: requests at the endpoint, as far as is known
    :param nodes: how many nodes may send there
    """
    share = SHARED_OUT * _free(slots, running) / nodes
    window = int(now_s / WINDOW_S)
    part = rendezvous.score(f'{endpoint}/{window}', node) / 2**64
    return int(share) + (part < share - int(share))


def allowed_at_once(slots: int, nodes: int) -> int:
    """How many requests of short work a node may have at an endpoint.

    They end long before other nodes hear of them: sharing the slots out in
    windows would leave most free, and what others had says nothing.
    """
    return max(1, _free(slots, 0) // nodes)


def _free(slots: int, running: int) -> int:
    """The free slots, less those that are kept in reserve."""
    reserved = max(1, round(RESERVED_SHARE * slots))
    return max(0, slots - reserved - running)


class BrittleServices:
    """Which services are brittle, and what was sent to their endpoints."""

    def __init__(self) -> None:
        self._named_s: dict[ids.ServiceName, float] = {}
        self._sent: dict[ids.EndpointId, tuple[int, int]] = {}
        self._full_until_s: dict[ids.EndpointId, float] = {}

    def apply_answer(
        self,
        service: ids.ServiceName,
        is_brittle: bool,
        sent_s: float | None,
        now_s: float,
    ) -> bool:
        """Apply whether an answer says that the service is brittle.

        Returns whether that changes what is known.

        :param sent_s: when the request was sent; None if not known
        """
        named_s = self._named_s.get(service)
        if is_brittle:
            self._named_s[service] = now_s
            return named_s is None
        if named_s is None or sent_s is None or sent_s < named_s:
            return False
        del self._named_s[service]
        return True

    def is_brittle(self, service: ids.ServiceName, now_s: float) -> bool:
        """Whether endpoints of a service are brittle now."""
        named_s = self._named_s.get(service)
        return named_s is not None and now_s - named_s < FORGOTTEN_AFTER_S

    def record_sent(self, endpoint: ids.EndpointId, now_s: float) -> None:
        """Record a request that is sent to an endpoint."""
        window = int(now_s / WINDOW_S)
        last, count = self._sent.get(endpoint, (window, 0))
        self._sent[endpoint] = (window, count + 1 if last == window else 1)

    def record_rejection(
        self, endpoint: ids.EndpointId, fraction: float, now_s: float
    ) -> None:
        """Record that an endpoint had no room.

        :param fraction: random, 0 to 1; spreads the nodes' next attempts
        """
        shortest_s, longest_s = REJECTED_PAUSE_S
        self._full_until_s[endpoint] = (
            now_s + shortest_s + fraction * (longest_s - shortest_s)
        )

    def has_rejected(self, endpoint: ids.EndpointId, now_s: float) -> bool:
        """Whether an endpoint had no room lately, and gets nothing for now."""
        return now_s < self._full_until_s.get(endpoint, now_s)

    def sent(self, endpoint: ids.EndpointId, now_s: float) -> int:
        """How many requests were sent to an endpoint in this window."""
        window, count = self._sent.get(endpoint, (0, 0))
        return count if window == int(now_s / WINDOW_S) else 0

    def discard(self, existing: typing.Container[ids.EndpointId]) -> None:
        """Forget all endpoints but *existing* ones."""
        for known in (self._sent, self._full_until_s):
            for endpoint in [item for item in known if item not in existing]:
                del known[endpoint]
