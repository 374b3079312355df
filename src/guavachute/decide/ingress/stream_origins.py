"""Which build of the endpoints began each stream.

A caller that takes up a broken stream names the attempt that began it. The
node that served it, or all nodes, may have ended meanwhile, and the endpoints
of that build may have left. So while more than one build may have begun the
streams of a service, each node tells the others of its streams, and one of
them writes what it hears to the store. What nobody has noted is not known:
that only one build is to be seen now says nothing of the build of then.
"""

import collections
import dataclasses
import typing

import xxhash

from guavachute import ids

KEPT_S = 60.0
"""A stream is taken up within this time after its begin, or after it was last
taken up: callers have a deadline."""

TOLD_S = 1.5
"""Other nodes are told of a stream for this long, in several updates, as
datagrams get lost."""

UNWRITTEN_S = 4.0
"""Notes from other nodes wait this long to be written, in case the node that
writes them ends."""

MAX_STREAMS = 20_000
"""Number of streams that are remembered, the newest ones."""

MAX_TOLD = 500
"""Number of streams in one update."""

StreamsByBuild = dict[ids.BuildName, list[ids.StreamKey]]


def stream_key(begun_as: ids.AttemptId) -> ids.StreamKey:
    """The short name of the stream that an attempt began."""
    return ids.StreamKey(xxhash.xxh3_64_intdigest(begun_as.encode('latin-1')))


@dataclasses.dataclass(slots=True)
class _Own:
    """A stream of this node's callers that is open or was broken off."""

    service: ids.ServiceName
    build: ids.BuildName
    told_until_s: float


class StreamOrigins:
    """The streams that this node has served or heard of."""

    def __init__(self) -> None:
        self._builds: collections.OrderedDict[
            ids.StreamKey, tuple[ids.BuildName, float]
        ] = collections.OrderedDict()
        self._own: dict[ids.StreamKey, _Own] = {}
        self._unwritten: collections.OrderedDict[
            ids.StreamKey, tuple[ids.BuildName, float]
        ] = collections.OrderedDict()

    def find(self, key: ids.StreamKey) -> ids.BuildName | None:
        """The build that began a stream; None if it is not known."""
        found = self._builds.get(key)
        return found[0] if found else None

    def record_begun(
        self,
        key: ids.StreamKey,
        service: ids.ServiceName,
        build: ids.BuildName,
        is_listed: bool,
        now_s: float,
    ) -> None:
        """Record the first event of a stream here, or of its continuation.

        :param is_listed: whether other nodes have to know its build
        """
        self._remember(key, build, now_s)
        until_s = now_s + TOLD_S if is_listed else now_s
        self._own[key] = _Own(service, build, until_s)
        if is_listed:
            self._await_write(key, build, now_s)

    def record_ended(self, key: ids.StreamKey, is_complete: bool) -> None:
        """Record the end of a stream; a complete one is not taken up."""
        if is_complete:
            self._own.pop(key, None)

    def merge(
        self, streams: StreamsByBuild, is_written: bool, now_s: float
    ) -> None:
        """Merge what another node tells, or what the store holds."""
        for build, keys in streams.items():
            for key in keys:
                if not is_written and key not in self._builds:
                    self._await_write(key, build, now_s)
                self._remember(key, build, now_s)

    def list_all(self, service: ids.ServiceName, now_s: float) -> int:
        """Tell the others of all streams of *service* that may go on.

        Returns their number.
        """
        found = 0
        for key, own in self._own.items():
            if own.service == service:
                own.told_until_s = now_s + TOLD_S
                self._await_write(key, own.build, now_s)
                found += 1
        return found

    def told(self, now_s: float) -> StreamsByBuild:
        """What the other nodes should hear now."""
        return _by_build(
            (key, own.build)
            for key, own in reversed(self._own.items())
            if own.told_until_s > now_s
        )

    def unwritten(self) -> StreamsByBuild:
        """What is not in the store yet, as far as this node knows."""
        return _by_build(
            (key, build) for key, (build, _) in self._unwritten.items()
        )

    def record_written(self, streams: StreamsByBuild) -> None:
        """Record that the store has acknowledged *streams*."""
        for keys in streams.values():
            for key in keys:
                self._unwritten.pop(key, None)

    def write_again(self, now_s: float) -> None:
        """Prepare to write again what the store may have lost."""
        for key, (build, noted_s) in self._builds.items():
            if now_s - noted_s <= KEPT_S:
                self._await_write(key, build, now_s)

    def expire(self, is_writer: bool, now_s: float) -> None:
        """Forget old streams.

        :param is_writer: whether this node writes to the store
        """
        while self._builds:
            key, (_, noted_s) = next(iter(self._builds.items()))
            if now_s - noted_s <= KEPT_S:
                break
            del self._builds[key]
            self._own.pop(key, None)
        unwritten_s = KEPT_S if is_writer else UNWRITTEN_S
        while self._unwritten:
            key, (_, noted_s) = next(iter(self._unwritten.items()))
            if now_s - noted_s <= unwritten_s:
                break
            del self._unwritten[key]

    def _remember(
        self, key: ids.StreamKey, build: ids.BuildName, now_s: float
    ) -> None:
        self._builds[key] = build, now_s
        self._builds.move_to_end(key)
        while len(self._builds) > MAX_STREAMS:
            oldest, _ = self._builds.popitem(last=False)
            self._own.pop(oldest, None)

    def _await_write(
        self, key: ids.StreamKey, build: ids.BuildName, now_s: float
    ) -> None:
        self._unwritten[key] = build, now_s
        self._unwritten.move_to_end(key)
        while len(self._unwritten) > MAX_STREAMS:
            self._unwritten.popitem(last=False)


def _by_build(
    streams: typing.Iterable[tuple[ids.StreamKey, ids.BuildName]],
) -> StreamsByBuild:
    found: StreamsByBuild = {}
    for count, (key, build) in enumerate(streams):
        if count >= MAX_TOLD:
            break
        found.setdefault(build, []).append(key)
    return found
