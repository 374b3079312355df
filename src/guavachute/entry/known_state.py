"""The configuration and the endpoints that this node goes by.

Both come from the store, or, while the store refuses this node, from
a peer that has read more of it. A version never goes back.
"""

import typing

from guavachute.decide.nodes import change_log
from guavachute.decide.nodes import endpoint_table
from guavachute.domain import configuration
from guavachute.domain import endpoints
from guavachute.entry import loop as entry_loop
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import configuration as platform_configuration
from guavachute.platform import endpoints as platform_endpoints
from guavachute.platform import store
from guavachute.wire import entry_news

NO_OFFSET = ids.Offset(-1)


class _Written(typing.NamedTuple):
    """An entry as it lies in the store, and what it says."""

    value: bytes
    state: endpoints.EndpointState
    incarnation: tuple[ids.EndpointId, int, ids.Address]


def _meaning(written: _Written | None) -> typing.Any:
    """What peers have to know of an entry; most are only renewed."""
    return written and written[1:]


class KnownState:
    """What has been read, decoded, and the bytes to hand to peers."""

    def __init__(self, loop: entry_loop.Loop) -> None:
        self._loop = loop
        self.configuration: configuration.Configuration | None = None
        self.table = endpoint_table.EndpointTable()
        self.endpoints_offset = NO_OFFSET
        """How far the entries have been read, by this node or a peer."""
        self.endpoints_version = NO_OFFSET
        """The newest entry that changed what the table says. Most entries
        are only renewed, and need not be passed on."""
        self.on_changed: typing.Callable[[], None] = lambda: None
        """Called when the configuration or the table has changed."""
        self.configuration_offset = NO_OFFSET
        """The place after the configuration's record in its topic."""
        self._configuration_bytes = b''
        self._deflated: bytes | None = None
        self._written: dict[str, _Written] = {}
        self._changes = change_log.ChangeLog()

    @property
    def version(self) -> int:
        """The configuration's version; 0 while there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def limits(self) -> configuration.CallerLimits:
        """What callers may send."""
        if self.configuration is None:
            return configuration.CallerLimits()
        return self.configuration.limits

    def fold_operator(
        self, record: store.KeyedRecord, is_snapshot: bool
    ) -> None:
        """A record of the operator's topic."""
        if record.key == platform_configuration.KEY and record.value:
            assert record.offset is not None, 'a record of a topic has a place'
            self.take_configuration(
                record.value, 'store', ids.Offset(record.offset + 1)
            )

    def take_configuration(
        self, text: bytes, source: str, next_offset: ids.Offset
    ) -> None:
        """Put a configuration in force unless it is older.

        :param next_offset: the place after its record in the topic
        """
        decoded = platform_configuration.decode(text)
        if isinstance(decoded, outcome.Failure):
            journal.problem(
                'configuration', outcome='unreadable', reason=str(decoded)
            )
            return
        if decoded.version <= self.version:
            return
        journal.event(
            'configuration',
            outcome='in-force',
            version=decoded.version,
            before=self.version,
            source=source,
        )
        self.configuration = decoded
        self._configuration_bytes = text
        self._deflated = None
        self.configuration_offset = next_offset
        self.on_changed()

    def fold_endpoint(
        self, record: store.KeyedRecord, is_snapshot: bool
    ) -> None:
        """A record of the endpoints' topic."""
        assert record.offset is not None, 'a record of a topic has a place'
        if self._take_entry(record.key, record.value, record.offset, 'store'):
            self.on_changed()

    def have_read(self, offset: ids.Offset) -> None:
        """The entries before *offset* have been folded."""
        self._changes.begin(offset)
        self.endpoints_offset = max(self.endpoints_offset, offset)

    def _take_entry(
        self, key: str, value: bytes | None, offset: ids.Offset, source: str
    ) -> bool:
        """Take what the store has under *key*; whether that is news.

        What peers are told is what the store has, whether or not it is
        believed here: a peer that takes over this node's version has to
        know all that came before it.
        """
        before = self._written.get(key)
        if value is None:
            self._drop(key)
        else:
            self._put(key, value, source)
        after = self._written.get(key)
        if _meaning(before) == _meaning(after):
            return False
        if after is None:
            self._changes.removed(key, offset)
        else:
            self._changes.changed(key, offset)
        self.endpoints_version = max(self.endpoints_version, offset)
        return True

    def _put(self, key: str, value: bytes, source: str) -> None:
        written = self._written.get(key)
        if written is not None and written.value == value:
            return
        decoded = platform_endpoints.decode(key, value)
        if isinstance(decoded, outcome.Failure):
            journal.problem(
                'endpoint', outcome='unreadable', reason=str(decoded)
            )
            self._drop(key)
            return
        self._written[key] = _Written(
            value, decoded.state, decoded.incarnation
        )
        before = self.table.entries.get(decoded.id)
        if self.table.put(decoded) and (
            before is None
            or before.state is not decoded.state
            or before.incarnation != decoded.incarnation
        ):
            journal.event(
                'endpoint',
                outcome=decoded.state.value,
                endpoint=key,
                service=decoded.service,
                domain=decoded.domain,
                leaves_in_s=decoded.leaves_in_s,
                source=source,
            )

    def _drop(self, key: str) -> None:
        self._written.pop(key, None)
        if self.table.delete(ids.EndpointId(key), self._loop.now_s):
            journal.event('endpoint', outcome='gone', endpoint=key)

    def endpoint_leaves(self, entry: endpoints.Endpoint) -> None:
        """An endpoint said by itself that it will end."""
        if entry.id in self.table.entries and self.table.put(entry):
            journal.event(
                'endpoint',
                outcome=entry.state.value,
                endpoint=entry.id,
                service=entry.service,
                domain=entry.domain,
                source='report',
            )

    def expire(self) -> None:
        """Drop the entries that lapsed and did not come back."""
        for endpoint in self.table.expire(self._loop.now_s):
            journal.event('endpoint', outcome='lapsed', endpoint=endpoint)

    def shared_configuration(
        self, version: int
    ) -> entry_news.SharedConfiguration | None:
        """The configuration, for a peer that has an older *version*."""
        if self.version <= version:
            return None
        if self._deflated is None:
            self._deflated = entry_news.deflate(self._configuration_bytes)
        return entry_news.SharedConfiguration(
            deflated=self._deflated,
            version=self.version,
            next_offset=self.configuration_offset,
        )

    def shared_endpoints(
        self, version: ids.Offset
    ) -> entry_news.SharedEndpoints:
        """What a peer that has this *version* may take over."""
        changes = self._changes.since(version)
        is_whole = changes is None
        if changes is None:
            changes = self._changes.all()
        return entry_news.SharedEndpoints(
            changed={
                key: entry_news.EntryNews(offset, self._written[key].value)
                for key, offset in changes.changed.items()
            },
            removed=changes.removed,
            is_whole=is_whole,
            offset=self.endpoints_offset,
            version=self.endpoints_version,
        )

    def take_shared_configuration(
        self, shared: entry_news.SharedConfiguration
    ) -> None:
        """Take over a peer's configuration if it is newer."""
        text = entry_news.inflate(shared.deflated)
        if isinstance(text, outcome.Failure):
            journal.problem(
                'configuration', outcome='unreadable', reason=str(text)
            )
            return
        self.take_configuration(text, 'peer', shared.next_offset)

    def take_shared_endpoints(
        self, shared: entry_news.SharedEndpoints
    ) -> None:
        """Take over what a peer has read beyond this node."""
        if shared.version <= self.endpoints_version:
            return
        gone = dict(shared.removed)
        if shared.is_whole:
            for key in self._written.keys() - shared.changed.keys():
                gone[key] = shared.version
        for key, offset in gone.items():
            self._take_entry(key, None, offset, 'peer')
        for key, entry in shared.changed.items():
            self._take_entry(key, entry.value, entry.offset, 'peer')
        if shared.is_whole or self.endpoints_offset != NO_OFFSET:
            self.have_read(shared.offset)
        self.endpoints_version = shared.version
