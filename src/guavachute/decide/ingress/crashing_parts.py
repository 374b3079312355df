"""Finds the parts of prompts that crash the engines.

A part may crash each engine that begins to answer a prompt with it,
whatever else the prompt holds. At a crash, the shared parts of the
requests that had not begun to be answered there are suspected; the last
part of a prompt belongs to its request alone and never is. An answer that
begins clears all parts of its prompt. A part that was suspected at
several moments without being cleared is blamed, and requests with it are
refused.

Engines also crash for other reasons, many of them at the same time, so
crashes at about one moment count once. Parts that are hot enough to be
suspected often are cleared as often.

Nodes exchange :class:`Notice`, all that is known of one part. Notices may
arrive late, repeatedly and in any order, and are passed on.
"""

import collections
import dataclasses
import enum
import heapq
import math
import typing

import xxhash

from guavachute.decide import rendezvous
from guavachute import ids

MOMENTS_TO_BLAME = 3
"""Moments with a crash after which a part is blamed."""

MOMENT_S = 0.3
"""Crashes within this time after the first of them count as one moment."""

RESTART_S = 1.0
"""An engine that is lost again so long after its crash has crashed again.
While the store is away, its entry still tells of the earlier start."""

PROOF_S = 0.5
"""An answer proves that its prompt is harmless when it is complete, or has
gone on for this long after its first token."""

SUSPECT_S = 60.0
"""A part that is not blamed is forgotten this long after its last crash."""

BLAMED_S = 3_600.0
"""A blamed part is forgotten this long after its last crash or refusal."""

CLEARED_S = 10.0
"""Other nodes are told for this long that a part was cleared."""

TRIAL_AFTER_S = 20.0
"""A request with a blamed part is tried this long after the last crash."""

TRIAL_GROWTH = 4.0
"""Each further moment with a crash lengthens the wait for a trial by this
factor."""

MAX_TRIAL_AFTER_S = 1_200.0
MAX_PARTS = 1_000
EVICTED_PARTS = 100
"""Parts that are evicted together, since a look at all entries costs as much
for one as for many."""

MAX_CRASHES = 12
"""The latest crashes that are kept of one part."""

MAX_PROVEN = 5_000
"""Parts of which it is remembered when an answer last cleared them."""

MAX_NOTICES = 12
"""Notices in one update; parts with the most crashes come first."""

NEWS_S = 5.0
"""For this long after a change, a part is in each update."""


class Verdict(enum.Enum):
    """What becomes of a request that is about to be sent."""

    SEND = 'send'
    WAIT = 'wait'
    """Another request with a suspected part has to begin its answer first."""
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What a node knows of a part, with times of the receiving loop.

    :ivar crashes: when each crash happened
    :ivar moments: how many moments with a crash are known; more than
        *crashes* tell if some of them were dropped
    :ivar cleared_s: when an answer last cleared the part; None if none did
    """

    part: str
    crashes: typing.Mapping[ids.CrashId, float]
    moments: int
    cleared_s: float | None


@dataclasses.dataclass(slots=True)
class _Entry:
    """What is known of one part.

    :ivar told_moments: the most moments that a notice told
    :ivar used_s: when it was last suspected, refused or cleared
    :ivar changed_s: when it was last suspected or cleared
    :ivar tried_s: when a request was last sent although it is blamed
    """

    crashes: dict[ids.CrashId, float] = dataclasses.field(default_factory=dict)
    told_moments: int = 0
    cleared_s: float | None = None
    used_s: float = 0.0
    changed_s: float = 0.0
    tried_s: float = float('-inf')

    @property
    def moments(self) -> int:
        """How many moments with a crash are known."""
        return max(_count_moments(self.crashes.values()), self.told_moments)

    @property
    def is_blamed(self) -> bool:
        return self.moments >= MOMENTS_TO_BLAME

    @property
    def next_trial_s(self) -> float:
        """When a request with the part may be tried, if it is blamed."""
        growth = TRIAL_GROWTH ** (self.moments - MOMENTS_TO_BLAME)
        wait_s = min(MAX_TRIAL_AFTER_S, TRIAL_AFTER_S * growth)
        return max([*self.crashes.values(), self.tried_s]) + wait_s

    def explains(self, other: '_Entry') -> bool:
        """Whether *other* may be harmless, as this part caused its crashes.

        A few of them may lack this part: the node with the request that had
        it may have been lost, or the engine have crashed by itself.
        """
        unexplained_s = [
            at_s
            for crash, at_s in other.crashes.items()
            if crash not in self.crashes
        ]
        return not unexplained_s or (
            self.moments > other.moments
            and _count_moments(unexplained_s) < MOMENTS_TO_BLAME
        )

    def clear(self, at_s: float) -> None:
        """Drop the crashes until *at_s*."""
        self.cleared_s = max(at_s, self.cleared_s or at_s)
        for crash in [c for c, s in self.crashes.items() if s <= at_s]:
            del self.crashes[crash]
        if not self.crashes:
            self.told_moments = 0

    def add(self, crash: ids.CrashId, at_s: float) -> bool:
        """Add a crash unless it is known or cleared; True if it is new."""
        is_cleared = self.cleared_s is not None and at_s <= self.cleared_s
        if crash in self.crashes or is_cleared:
            return False
        self.crashes[crash] = at_s
        if len(self.crashes) > MAX_CRASHES:
            self.told_moments = self.moments
            del self.crashes[min(self.crashes, key=self.crashes.__getitem__)]
        return True


class CrashingParts:
    """The suspected and blamed parts, as one node knows them."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._proven_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._trials: dict[ids.AttemptId, frozenset[str]] = {}

    def record_crash(
        self,
        crash: ids.CrashId,
        parts: typing.Iterable[str],
        at_s: float,
        now_s: float,
    ) -> list[str]:
        """Record a crash, and the parts that may have caused it.

        :param parts: shared parts of the requests that were lost and had not
            begun to be answered
        :param at_s: when the requests were lost
        :returns: the parts that are blamed now and were not before
        """
        return [
            part
            for part in parts
            if self._merge(
                part, {self._distinct(crash, part, at_s): at_s}, 0, now_s
            )
        ]

    def record_proof(
        self, parts: typing.Iterable[str], now_s: float
    ) -> list[str]:
        """Record that an answer has proven the parts of its prompt harmless.

        Returns the parts that were suspected and no longer are.
        """
        cleared = []
        for part in parts:
            self._proven_s[part] = now_s
            self._proven_s.move_to_end(part)
            entry = self._entries.get(part)
            if entry is not None and entry.crashes:
                self._clear(part, now_s, now_s)
                cleared.append(part)
        while len(self._proven_s) > MAX_PROVEN:
            self._proven_s.popitem(last=False)
        return cleared

    def merge_notice(self, notice: Notice, now_s: float) -> bool:
        """Merge what another node knows; True if it makes a part blamed."""
        if notice.cleared_s is not None and notice.part in self._entries:
            self._clear(notice.part, notice.cleared_s, now_s)
        return self._merge(notice.part, notice.crashes, notice.moments, now_s)

    def is_blamed(self, part: str) -> bool:
        """Whether requests with the part are refused."""
        entry = self._entries.get(part)
        return entry is not None and entry.is_blamed

    def known(self, part: str) -> Notice | None:
        """What is known of a part; None if it is not suspected."""
        entry = self._entries.get(part)
        return None if entry is None else _notice(part, entry)

    def blamed(self) -> list[str]:
        """All blamed parts."""
        return [part for part in self._entries if self.is_blamed(part)]

    def is_suspected(self, parts: typing.Iterable[str]) -> bool:
        """Whether one of the parts was suspected and not cleared since."""
        return any(
            part in self._entries and self._entries[part].crashes
            for part in parts
        )

    def verdict(
        self,
        attempt: ids.AttemptId,
        parts: typing.Collection[str],
        may_try: typing.Callable[[str], bool],
        now_s: float,
    ) -> Verdict:
        """What becomes of a request with these shared parts.

        :param may_try: whether this node is the one that tries requests with
            a blamed part, to find out that it is harmless after all
        """
        if not self._entries:
            return Verdict.SEND
        waits = False
        for part in parts:
            entry = self._entries.get(part)
            if entry is None:
                continue
            if entry.is_blamed and not self._is_explained(entry, parts):
                is_due = now_s >= entry.next_trial_s and may_try(part)
                if not is_due or self._is_tried(part, attempt):
                    entry.used_s = now_s
                    return Verdict.REFUSE
            elif entry.moments == MOMENTS_TO_BLAME - 1:
                waits |= self._is_tried(part, attempt)
        return Verdict.WAIT if waits else Verdict.SEND

    def begin(
        self,
        attempt: ids.AttemptId,
        parts: typing.Iterable[str],
        now_s: float,
    ) -> None:
        """Record that a request is sent to an engine."""
        suspected = frozenset(
            part
            for part in parts
            if part in self._entries
            and self._entries[part].moments >= MOMENTS_TO_BLAME - 1
        )
        for part in suspected:
            self._entries[part].tried_s = now_s
        if suspected:
            self._trials[attempt] = suspected

    def end(self, attempt: ids.AttemptId) -> None:
        """Record that a request is no longer at an engine, or is proven."""
        self._trials.pop(attempt, None)

    def notices(self, now_s: float, only_news: bool = False) -> list[Notice]:
        """What other nodes should know, the parts with most crashes first.

        :param only_news: whether to leave out what has not changed lately
        """
        known = sorted(
            (
                item
                for item in self._entries.items()
                if (item[1].crashes or not self._is_old(item[1], now_s))
                and not (only_news and now_s - item[1].changed_s > NEWS_S)
            ),
            key=lambda item: (-item[1].moments, -item[1].used_s),
        )
        return [_notice(part, entry) for part, entry in known[:MAX_NOTICES]]

    def expire(self, now_s: float) -> None:
        """Forget old suspicions; called about every half second."""
        for part in [
            part
            for part, entry in self._entries.items()
            if self._is_old(entry, now_s)
        ]:
            del self._entries[part]

    def _distinct(
        self, crash: ids.CrashId, part: str, at_s: float
    ) -> ids.CrashId:
        """The id of a crash, another one if that id's crash is long past."""
        entry = self._entries.get(part)
        if entry is not None:
            while at_s > entry.crashes.get(crash, math.inf) + RESTART_S:
                crash = ids.CrashId(xxhash.xxh32_intdigest(b'%d' % crash))
        return crash

    def _is_explained(
        self, entry: _Entry, parts: typing.Collection[str]
    ) -> bool:
        """Whether a part that the request lacks explains the crashes.

        Parts that come together with the one that crashes engines are lost
        with it, and so blamed with it.
        """
        return any(
            part not in parts and other.is_blamed and other.explains(entry)
            for part, other in self._entries.items()
        )

    def _is_tried(self, part: str, attempt: ids.AttemptId) -> bool:
        return any(
            part in tried
            for other, tried in self._trials.items()
            if other != attempt
        )

    def _merge(
        self,
        part: str,
        crashes: typing.Mapping[ids.CrashId, float],
        moments: int,
        now_s: float,
    ) -> bool:
        proven_s = self._proven_s.get(part, float('-inf'))
        unproven = {
            crash: at_s for crash, at_s in crashes.items() if at_s > proven_s
        }
        if not unproven:
            return False
        entry = self._entries.setdefault(part, _Entry())
        was_blamed = entry.is_blamed
        is_new = [entry.add(crash, at_s) for crash, at_s in unproven.items()]
        if any(is_new):
            entry.used_s = entry.changed_s = now_s
        if entry.crashes and len(unproven) == len(crashes):
            entry.told_moments = max(entry.told_moments, moments)
        if len(self._entries) > MAX_PARTS:
            self._evict()
        return entry.is_blamed and not was_blamed

    def _clear(self, part: str, at_s: float, now_s: float) -> None:
        entry = self._entries[part]
        entry.clear(at_s)
        if not entry.crashes:
            entry.used_s = entry.changed_s = now_s

    def _evict(self) -> None:
        """Forget the parts with the fewest crashes, the oldest ones first."""
        least = heapq.nsmallest(
            EVICTED_PARTS,
            self._entries.items(),
            key=lambda item: (item[1].moments, item[1].used_s),
        )
        for part, _ in least:
            del self._entries[part]

    @staticmethod
    def _is_old(entry: _Entry, now_s: float) -> bool:
        if not entry.crashes:
            kept_s = CLEARED_S
        else:
            kept_s = BLAMED_S if entry.is_blamed else SUSPECT_S
        return now_s - entry.used_s > kept_s


def _count_moments(times_s: typing.Iterable[float]) -> int:
    count, since_s = 0, float('-inf')
    for at_s in sorted(times_s):
        if at_s > since_s + MOMENT_S:
            count, since_s = count + 1, at_s
    return count


def _notice(part: str, entry: _Entry) -> Notice:
    return Notice(part, dict(entry.crashes), entry.moments, entry.cleared_s)


def trial_node(part: str, nodes: typing.Iterable[str]) -> str:
    """The node that tries requests with a blamed part.

    All nodes that know the same others agree on it.
    """
    return rendezvous.ranked(part, nodes, str)[0]
