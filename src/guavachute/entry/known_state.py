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
        self._configuration_bytes = b''
        self._endpoint_bytes: dict[str, bytes] = {}
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
            self.take_configuration(record.value, 'store')

    def take_configuration(self, text: bytes, source: str) -> None:
        """Put a configuration in force unless it is older."""
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
        self.on_changed()

    def fold_endpoint(
        self, record: store.KeyedRecord, is_snapshot: bool
    ) -> None:
        """A record of the endpoints' topic."""
        was_known = record.key in self._endpoint_bytes
        if record.value is None:
            self._delete_endpoint(record.key)
            has_changed = was_known
        else:
            has_changed = (
                self._put_endpoint(record.key, record.value, 'store')
                or not was_known
            )
        if has_changed and record.offset is not None:
            self._note_change(record.key, record.offset)
            self.on_changed()

    def have_read(self, offset: ids.Offset) -> None:
        """The entries before *offset* have been folded."""
        self._changes.begin(offset)
        self.endpoints_offset = max(self.endpoints_offset, offset)

    def _note_change(self, key: str, offset: ids.Offset) -> None:
        """Tell peers of the change as one of *offset*.

        A deletion that is not believed here, after an outage of the
        store, is told as well: a peer that takes over this node's
        version has to know all that came before it.
        """
        if key in self._endpoint_bytes:
            self._changes.changed(key, offset)
        else:
            self._changes.removed(key, offset)
        self.endpoints_version = max(self.endpoints_version, offset)

    def _put_endpoint(self, key: str, value: bytes, source: str) -> bool:
        """Take an entry; whether the table says something new by it."""
        if self._endpoint_bytes.get(key) == value:
            return False
        decoded = platform_endpoints.decode(key, value)
        if isinstance(decoded, outcome.Failure):
            journal.problem(
                'endpoint', outcome='unreadable', reason=str(decoded)
            )
            return self._delete_endpoint(key)
        self._endpoint_bytes[key] = value
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
                source=source,
            )
            return True
        return False

    def _delete_endpoint(self, key: str) -> bool:
        """Drop an entry; whether its endpoint is taken as gone."""
        self._endpoint_bytes.pop(key, None)
        if self.table.delete(ids.EndpointId(key), self._loop.now_s):
            journal.event('endpoint', outcome='gone', endpoint=key)
            return True
        return False

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

    def shared(
        self, configuration_version: int, endpoints_version: ids.Offset
    ) -> entry_news.SharedState:
        """What a peer that has these versions may take over."""
        changes = self._changes.since(endpoints_version)
        is_whole = changes is None
        if changes is None:
            changes = self._changes.all()
        is_newer = self.version > configuration_version
        return entry_news.SharedState(
            configuration=self._configuration_bytes if is_newer else b'',
            configuration_version=self.version,
            endpoints={
                key: entry_news.EntryNews(offset, self._endpoint_bytes[key])
                for key, offset in changes.changed.items()
                # Entries that lapsed in an outage may come back.
                if key in self._endpoint_bytes
            },
            removed=changes.removed,
            is_whole=is_whole,
            endpoints_offset=self.endpoints_offset,
            endpoints_version=self.endpoints_version,
        )

    def take_shared(self, state: entry_news.SharedState, source: str) -> None:
        """Take over what a peer has read beyond this node."""
        if state.configuration:
            self.take_configuration(state.configuration, source)
        if state.endpoints_version <= self.endpoints_version:
            return
        gone = dict(state.removed)
        if state.is_whole:
            for key in self._endpoint_bytes.keys() - state.endpoints.keys():
                gone[key] = state.endpoints_version
        for key, offset in gone.items():
            was_known = key in self._endpoint_bytes
            self._delete_endpoint(key)
            if was_known:
                self._note_change(key, offset)
        for key, entry in state.endpoints.items():
            was_known = key in self._endpoint_bytes
            if self._put_endpoint(key, entry.value, source) or not was_known:
                self._note_change(key, entry.offset)
        if state.is_whole or self.endpoints_offset != NO_OFFSET:
            self.have_read(state.endpoints_offset)
        self.endpoints_version = state.endpoints_version
