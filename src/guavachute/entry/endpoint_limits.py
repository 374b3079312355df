"""Keeps, with the other nodes, the limits that endpoints name."""

import math
import typing

from guavachute.decide.ingress import announcements
from guavachute.decide.ingress import named_limits
from guavachute.domain import endpoints
from guavachute.domain import site as domain_site
from guavachute import ids
from guavachute.observe import journal
from guavachute.wire import node_updates

SETTLED_AFTER_S = 4.0
"""A process this old has heard of all other nodes. Before, it may be the only
one that it knows."""

MAX_NOTICES = 50
"""Upper bound of the limits in one update; the rest follows in the next."""

_DECISECONDS = 10


class EndpointLimits:
    """Decides what this node may send to endpoints that name a limit.

    :param entries: gives the known endpoints
    """

    def __init__(
        self,
        site: domain_site.Site,
        entries: typing.Callable[[], endpoints.Endpoints],
        now_s: typing.Callable[[], float],
    ) -> None:
        self._site = site
        self._entries = entries
        self._now_s = now_s
        self._started_s = now_s()
        self._limits = named_limits.NamedLimits()
        self._told = 0
        self.other_places: typing.Callable[[], list[named_limits.Place]] = list
        """Gives the other nodes that count as serving callers."""

    # -- use -----------------------------------------------------------

    def wait_s(
        self, incarnation: announcements.Incarnation, now_s: float
    ) -> float:
        """Time until this node may send a request; infinite if it may not."""
        return self._limits.wait_s(incarnation, now_s)

    def record_sent(
        self, incarnation: announcements.Incarnation, now_s: float
    ) -> None:
        """Record a request or another call to an endpoint."""
        self._limits.record_sent(incarnation, now_s)

    def limited(self, service: ids.ServiceName) -> set[ids.EndpointId]:
        """The endpoints of a service that have a limit now."""
        entries = (self._entry(item) for item in self._limits.in_force())
        return {
            entry.id
            for entry in entries
            if entry is not None and entry.service == service
        }

    # -- what endpoints and other nodes tell ---------------------------

    def apply_answer(
        self,
        incarnation: announcements.Incarnation,
        named_per_s: float | None,
        sent_s: float | None,
        now_s: float,
    ) -> bool:
        """Apply the limit in the head of an answer; True if new or lower.

        :param named_per_s: as the answer names it; None if it names none
        :param sent_s: when its request was sent; None if the answer is of a
            kind whose silence tells nothing
        """
        if named_per_s is None:
            if sent_s is not None and self._limits.record_unnamed(
                incarnation, sent_s, now_s
            ):
                self._log(incarnation, 'limit-ended', 'answer')
            return False
        limit_per_s = named_limits.bounded_limit_per_s(named_per_s)
        if limit_per_s is None:
            journal.problem(
                'endpoint',
                outcome='limit-ignored',
                endpoint=incarnation.endpoint,
                named_per_s=str(named_per_s),
            )
            return False
        if not self._limits.record_named(incarnation, limit_per_s, now_s):
            return False
        self._update_share(incarnation, limit_per_s, self._places(), now_s)
        self._log(incarnation, 'limit-named', 'answer')
        return True

    def merge_notices(
        self, notices: typing.Iterable[node_updates.LimitNotice], source: str
    ) -> None:
        """Merge what another node knows of limits."""
        now_s = self._now_s()
        for item in notices:
            incarnation = announcements.Incarnation(
                item.endpoint, item.start_ms
            )
            notice = named_limits.Notice(
                incarnation,
                item.limit_per_s,
                now_s - item.named_ds / _DECISECONDS,
                None
                if item.ended_ds is None
                else now_s - item.ended_ds / _DECISECONDS,
            )
            if not self._limits.merge(notice, now_s):
                continue
            if self._limits.holds(incarnation):
                self._update_share(
                    incarnation, item.limit_per_s, self._places(), now_s
                )
                self._log(incarnation, 'limit-named', source)
            else:
                self._log(incarnation, 'limit-ended', source)

    def notices(self) -> list[node_updates.LimitNotice]:
        """What this node knows, for the nodes that hear of it directly."""
        return self._encode(self._limits.notices(self._now_s()))

    def region_notices(self) -> list[node_updates.LimitNotice]:
        """What is known of the endpoints of this region, for other ones."""
        found = []
        for notice in self._limits.known(self._now_s()):
            entry = self._entry(notice.incarnation)
            if entry is not None and self._region(entry) == self._site.region:
                found.append(notice)
        return self._encode(found)

    def _encode(
        self, notices: typing.Sequence[named_limits.Notice]
    ) -> list[node_updates.LimitNotice]:
        now_s = self._now_s()
        if len(notices) > MAX_NOTICES:
            first = self._told % len(notices)
            self._told += MAX_NOTICES
            notices = [*notices[first:], *notices[:first]][:MAX_NOTICES]
        return [
            node_updates.LimitNotice(
                notice.incarnation.endpoint,
                notice.incarnation.start_ms,
                notice.limit_per_s,
                _to_ds(now_s - notice.named_s),
                None
                if notice.ended_s is None
                else _to_ds(now_s - notice.ended_s),
            )
            for notice in notices
        ]

    # -- this node's share ---------------------------------------------

    def expire(self, extra_age_s: float) -> None:
        """Forget old limits, and follow changes of the nodes.

        :param extra_age_s: how much older updates are where nodes are many
        """
        now_s = self._now_s()
        self._limits.expire(now_s, extra_age_s)
        in_force = self._limits.in_force()
        if not in_force:
            return
        places = self._places()
        for incarnation, limit_per_s in in_force.items():
            if self._entry(incarnation) is None:
                self._limits.discard(incarnation)
            else:
                self._update_share(incarnation, limit_per_s, places, now_s)

    def _places(self) -> list[named_limits.Place]:
        own = named_limits.Place(
            self._site.node, self._site.domain, self._site.region
        )
        return [own, *self.other_places()]

    def _update_share(
        self,
        incarnation: announcements.Incarnation,
        limit_per_s: float,
        places: typing.Sequence[named_limits.Place],
        now_s: float,
    ) -> None:
        entry = self._entry(incarnation)
        if entry is None:
            return
        share_per_s = named_limits.share_per_s(
            self._site.node,
            incarnation,
            limit_per_s,
            places,
            entry.domain,
            self._region(entry),
            now_s - self._started_s >= SETTLED_AFTER_S,
        )
        if self._limits.set_share(incarnation, share_per_s, now_s):
            journal.event(
                'endpoint',
                outcome='limit-share',
                endpoint=incarnation.endpoint,
                limit_per_s=limit_per_s,
                share_per_s=round(share_per_s, 3),
                nodes=len(places),
            )

    def _entry(
        self, incarnation: announcements.Incarnation
    ) -> endpoints.Endpoint | None:
        """The entry of just this start of an endpoint; None if it is gone."""
        entry = self._entries().get(incarnation.endpoint)
        if entry is None or entry.start_ms != incarnation.start_ms:
            return None
        return entry

    def _region(self, entry: endpoints.Endpoint) -> ids.Region | None:
        return self._site.region_of.get(entry.domain)

    def _log(
        self,
        incarnation: announcements.Incarnation,
        result: str,
        source: str,
    ) -> None:
        wait_s = self._limits.wait_s(incarnation, self._now_s())
        journal.event(
            'endpoint',
            outcome=result,
            endpoint=incarnation.endpoint,
            start_ms=incarnation.start_ms,
            limit_per_s=self._limits.in_force().get(incarnation),
            wait_s=None if math.isinf(wait_s) else round(wait_s, 3),
            source=source,
        )


def _to_ds(duration_s: float) -> int:
    return max(0, round(duration_s * _DECISECONDS))
