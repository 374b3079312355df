"""The learned capacity of the endpoints that this node knows."""

import dataclasses
import typing

from guavachute.decide.ingress.capacity import endpoint_capacity
from guavachute.decide.ingress.capacity import service_speed
from guavachute.decide.ingress import choice
from guavachute import ids
from guavachute.observe import journal

IS_USED = True
"""Whether endpoints are chosen by learned capacity and with random numbers.
Trials compare both ways; there is no reason for an operator to change it."""

TOLD_DEVIATION = 0.3
"""Nodes tell each other of endpoints whose slowdown deviates by this from what
the receiver would assume otherwise."""

MAX_TOLD = 4
"""Endpoints in one update of a node: an entry has some 20 bytes, and a node
sends up to a hundred updates per second."""

TELLING_S = 3.0
"""Figures that are older than this have reached all nodes of the region."""

MAX_TOLD_BY_REGION = 32
"""Endpoints in one update of a reader, which sends few."""

FIGURES_S = 0.05
"""A node chooses among all endpoints up to hundreds of times per second."""

MAX_GAUGES = 32
"""Endpoints with a gauge: the slowest, of those that are slow."""

MAX_TELLERS = 8
"""Nodes whose figures of one endpoint are kept; the oldest are discarded."""

LOGGED_FALL = 1.5
"""A line is logged when the slowdown of an endpoint exceeds this, and when it
falls below the root of it again."""

LOG_INTERVAL_S = 5.0
"""At most one line per endpoint in this time."""

STREAM_EVENTS = 4
"""Streams with fewer events give no useful time between events."""

UNQUEUED_SHARE = 0.75
"""A request to an endpoint with at most this share of its slots occupied has
probably not waited there: what is known of other nodes may be old."""

STALLED = 4.0
"""An endpoint that owes an answer and sends nothing for this multiple of the
usual time counts as slow."""

MAX_STALLED = 20.0

HALF = 0.5
"""An endpoint with less than this share of its slots occupied is slow for
another reason than its number of requests. The number known may be old, so a
rejection is taken to have happened with at least this share."""


@dataclasses.dataclass(slots=True)
class Learned:
    """What is known of the capacity of one endpoint and of its service.

    :ivar unanswered: requests of this node of which nothing came back yet, and
        which had probably not to wait for a slot
    :ivar progress_s: when the endpoint last sent something, or got a request
        while there were no such requests
    """

    service: service_speed.ServiceSpeed
    endpoint: endpoint_capacity.EndpointCapacity = dataclasses.field(
        default_factory=endpoint_capacity.EndpointCapacity
    )
    known_since_s: float = 0.0
    unanswered: int = 0
    progress_s: float = 0.0
    is_logged_slow: bool = False
    logged_s: float = float('-inf')
    _figures: tuple[float, float] = (1.0, 1.0)
    _figures_s: float = float('-inf')
    _changed_s: float = float('-inf')

    def slowdown(self, now_s: float) -> float:
        """How long work takes there, in proportion to the usual time.

        An endpoint that sends nothing for much longer than usual counts as
        slow before its answer shows it. Its silence counts as long as others
        sent something: if none does, this node may have stood still.
        """
        found = self.endpoint.slowdown(now_s)
        if self.unanswered:
            usual_s = self.service.silence_s
            silent_s = self.service.progress_s - self.progress_s
            if usual_s is not None and silent_s > STALLED * usual_s:
                return min(MAX_STALLED, max(found, silent_s / usual_s))
        return found

    def figures(self, now_s: float) -> tuple[float, float]:
        """The slowdown, and the share of its slots that it handles well.

        They are computed anew after each measurement of this node, and
        otherwise as often as others' figures and the time can change them.
        """
        if now_s - self._figures_s > FIGURES_S:
            self._figures_s = now_s
            self._figures = (
                self.slowdown(now_s),
                self.endpoint.limit_share(now_s),
            )
        return self._figures

    def note_progress(self, now_s: float) -> None:
        """Record that the endpoint has sent something."""
        self.progress_s = now_s
        self.service.progress_s = now_s

    def is_unchanged(self, since_s: float) -> bool:
        """Whether nothing was learned of it after *since_s*."""
        return self._changed_s < since_s and not self.unanswered

    def _note_change(self, now_s: float) -> None:
        self._changed_s = now_s
        self._figures_s = float('-inf')

    def record_report(self, slowdown: float, now_s: float) -> None:
        """Record the slowdown that the endpoint reports of itself."""
        self.endpoint.record_report(slowdown, now_s)
        self._note_change(now_s)

    def own(self, now_s: float) -> endpoint_capacity.Told | None:
        """What this node has found itself; None if that is too old."""
        slowdown = self.slowdown(now_s) if self.unanswered else 0.0
        own = self.endpoint.own(now_s)
        if slowdown >= STALLED:
            return endpoint_capacity.Told(
                slowdown, 1.0 if own is None else own.limit_share, now_s
            )
        return own

    def record_first_token(
        self,
        chosen: choice.Chosen,
        share: float,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Record the time to the first token of a request.

        The time in the queue of an endpoint that may have been full is none of
        its speed.

        :param chosen: the choice, with the work as it was known then
        :param share: the share of its slots that were occupied
        """
        if chosen.work is not None and share <= UNQUEUED_SHARE:
            self._record(
                self.service.first_token_slowdown(chosen.work, duration_s),
                0.0,
                now_s,
            )

    def record_plain(
        self, share: float, duration_s: float, now_s: float
    ) -> None:
        """Record how long a plain request took."""
        if share <= 1:
            self.service.record_slot(duration_s)
            self._record(
                self.service.plain_slowdown(share, duration_s), share, now_s
            )

    def record_stream(
        self,
        share: float,
        duration_s: float,
        events: int,
        token_share: float,
        now_s: float,
    ) -> None:
        """Record the time from the first to the last event of a stream.

        :param token_share: one slot's share of its tokens
        """
        self.service.record_slot(duration_s)
        if events < STREAM_EVENTS:
            return
        found = self.service.event_slowdown(duration_s / (events - 1))
        self._record(found, share, now_s)
        if token_share:
            self.service.record_token(duration_s / token_share)

    def record_rejection(self, occupied: float, now_s: float) -> None:
        """Record that the endpoint had no room for a request.

        :param occupied: share of its slots, as far as is known
        """
        self.endpoint.record_overload(max(HALF, min(1.0, occupied)), now_s)
        self._note_change(now_s)

    def _record(
        self, slowdown: float | None, occupied: float, now_s: float
    ) -> None:
        if slowdown is None:
            return
        self._note_change(now_s)
        self.endpoint.record_slowdown(slowdown, now_s)
        if slowdown >= endpoint_capacity.HEAVY_SLOWDOWN and occupied > HALF:
            self.endpoint.record_overload(min(1.0, occupied), now_s)

    def expire(
        self, endpoint: ids.EndpointId, service: str, now_s: float
    ) -> None:
        """Discard old figures of other nodes, and log a change of capacity."""
        if not self.is_logged_slow and self.is_unchanged(
            now_s - endpoint_capacity.KEPT_S
        ):
            self.endpoint.told.clear()
            return
        self.endpoint.discard_told(now_s)
        slowdown = self.slowdown(now_s)
        is_slow = slowdown > (
            LOGGED_FALL**0.5 if self.is_logged_slow else LOGGED_FALL
        )
        if (
            is_slow is self.is_logged_slow
            or now_s - self.logged_s < LOG_INTERVAL_S
        ):
            return
        self.is_logged_slow = is_slow
        self.logged_s = now_s
        journal.event(
            'endpoint',
            outcome='capacity-fell' if is_slow else 'capacity-recovered',
            endpoint=endpoint,
            service=service,
            slowdown=round(slowdown, 2),
            measured=round(self.endpoint.measured, 2),
            measured_age_s=round(
                min(99.0, now_s - self.endpoint.measured_s), 1
            ),
            told_by=len(self.endpoint.told),
            limit_share=round(self.endpoint.limit_share(now_s), 2),
        )

    def merge_told(
        self, node: str, told: endpoint_capacity.Told, now_s: float
    ) -> None:
        """Keep another node's figures, unless they are of no use.

        Figures from before this incarnation was known concern another one.
        """
        kept = self.endpoint.told
        if (
            told.measured_s < self.known_since_s
            or now_s - told.measured_s >= endpoint_capacity.KEPT_S
        ):
            return
        kept[node] = told
        self._changed_s = now_s
        if len(kept) > MAX_TELLERS:
            del kept[min(kept, key=lambda name: kept[name].measured_s)]


def slowdowns(
    learned: typing.Mapping[ids.EndpointId, Learned], now_s: float
) -> dict[str, float]:
    """The slowdown of the endpoints that are known to be slow, for metrics."""
    found = [(item.slowdown(now_s), name) for name, item in learned.items()]
    slow = sorted(item for item in found if item[0] > LOGGED_FALL)
    return {name: round(slowdown, 2) for slowdown, name in slow[-MAX_GAUGES:]}


def limit_shares(
    learned: typing.Mapping[ids.EndpointId, Learned], now_s: float
) -> dict[str, float]:
    """The lowest shares of slots that endpoints handle well, for metrics."""
    found = [
        (item.endpoint.limit_share(now_s), name)
        for name, item in learned.items()
    ]
    low = sorted(item for item in found if item[0] < 1)
    return {name: round(share, 2) for share, name in low[:MAX_GAUGES]}


class Attempt:
    """Measures one request that was sent to an endpoint.

    :param chosen: the choice, with the work as it was known then; None if the
        time that this request takes shows nothing
    :param share: gives the share of its slots that the endpoint reports
    """

    def __init__(
        self,
        learned: Learned,
        chosen: choice.Chosen | None,
        share: typing.Callable[[float], float],
        now_s: float,
    ) -> None:
        self._learned = learned
        self._chosen = chosen
        self._share = share
        self._sent_s = now_s
        self._first_event_s: float | None = None
        # The wait in the queue of a full endpoint is no sign of slowness.
        self._is_unanswered = (
            chosen is not None and chosen.occupied <= UNQUEUED_SHARE
        )
        if self._is_unanswered:
            if not learned.unanswered:
                learned.progress_s = now_s
            learned.unanswered += 1

    def handle_event(self, now_s: float) -> None:
        """Record that events of a stream have come."""
        self._learned.note_progress(now_s)
        if self._first_event_s is not None:
            return
        self._first_event_s = now_s
        self._end_wait()
        if self._chosen is not None:
            self._learned.record_first_token(
                self._chosen,
                max(self._chosen.occupied, self._share(now_s)),
                now_s - self._sent_s,
                now_s,
            )

    def handle_paused(self) -> None:
        """Record that the answer is not read: a caller is slow."""
        self._chosen = None

    def handle_success(
        self, events: int, tokens: int, slots: int, now_s: float
    ) -> None:
        """Record that the answer is complete.

        :param tokens: how many its events held, as far as is known
        """
        self._learned.note_progress(now_s)
        chosen = self._chosen
        if chosen is None:
            return
        share = max(chosen.occupied, self._share(now_s))
        if self._first_event_s is not None:
            self._learned.record_stream(
                share,
                now_s - self._first_event_s,
                events,
                tokens * slots,
                now_s,
            )
        elif chosen.work is None:
            self._learned.record_plain(share, now_s - self._sent_s, now_s)

    def handle_released(self) -> None:
        """Record that the endpoint has the request no more."""
        self._end_wait()

    def _end_wait(self) -> None:
        if self._is_unanswered:
            self._is_unanswered = False
            self._learned.unanswered -= 1


def told_figures(
    learned: typing.Mapping[ids.EndpointId, Learned], now_s: float
) -> dict[ids.EndpointId, endpoint_capacity.Told]:
    """This node's own figures that other nodes should know.

    Those that deviate most come first, if there are too many.
    """
    found = []
    for name, item in learned.items():
        own = item.own(now_s)
        if own is None or now_s - own.measured_s > TELLING_S:
            continue
        told = item.endpoint.told.values()
        others = max((other.slowdown for other in told), default=1.0)
        deviation = max(abs(own.slowdown - 1), abs(own.slowdown - others))
        deviation = max(deviation, 2 * (1 - own.limit_share))
        if deviation >= TOLD_DEVIATION:
            found.append((deviation, name, own))
    found.sort(key=lambda entry: -entry[0])
    return {name: own for _, name, own in found[:MAX_TOLD]}


def region_figures(
    learned: typing.Mapping[ids.EndpointId, Learned], now_s: float
) -> dict[ids.EndpointId, endpoint_capacity.Told]:
    """What a reader tells other regions of its region's endpoints."""
    found = []
    for name, item in learned.items():
        capacity = item.endpoint
        times = [told.measured_s for told in capacity.told.values()]
        own = item.own(now_s)
        if own is not None:
            times.append(own.measured_s)
        if not times:
            continue
        told = endpoint_capacity.Told(
            item.slowdown(now_s), capacity.limit_share(now_s), max(times)
        )
        deviation = max(abs(told.slowdown - 1), 2 * (1 - told.limit_share))
        if deviation >= TOLD_DEVIATION:
            found.append((deviation, name, told))
    found.sort(key=lambda entry: -entry[0])
    return {name: told for _, name, told in found[:MAX_TOLD_BY_REGION]}
