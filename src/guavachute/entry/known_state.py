"""The configuration and the endpoints that this node works with.

Both come from the store or from a peer that has read more of it. Versions
never decrease.
"""

import typing

from guavachute.decide.nodes import change_log
from guavachute.decide.nodes import endpoint_table
from guavachute.decide.nodes import entry_writes
from guavachute.domain import configuration
from guavachute.domain import endpoints
from guavachute.domain import log_position
from guavachute.entry import loop as entry_loop
from guavachute.entry import topic_follower
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import configuration as platform_configuration
from guavachute.platform import endpoints as platform_endpoints
from guavachute.platform import store
from guavachute.wire import header_text
from guavachute.wire import node_updates


class _StoredEntry(typing.NamedTuple):
    """An entry as it is stored, and the fields that matter to peers.

    :ivar position: of its latest record that is known here
    """

    position: ids.LogPosition
    value: bytes
    state: endpoints.EndpointState
    incarnation: tuple[ids.EndpointId, int, ids.Address]


def _peer_relevant(stored: _StoredEntry | None) -> typing.Any:
    """The part of an entry whose changes peers have to know.

    Most writes of an entry only renew it.
    """
    return stored and stored[2:]


class KnownState:
    """The decoded configuration and endpoints, and what peers fetch."""

    def __init__(self, loop: entry_loop.Loop) -> None:
        self._loop = loop
        self.configuration: configuration.Configuration | None = None
        self.table = endpoint_table.EndpointTable()
        self.endpoints_position = log_position.NO_POSITION
        """All entries before this position were folded, by this node or a
        peer."""
        self.endpoints_version = log_position.NO_POSITION
        """The position of the newest record that changed the table, with no
        change before it unknown here. Most records only renew an entry, and
        need not be passed on."""
        self._later_changes: list[ids.LogPosition] = []
        """Changes that were folded, but not yet all records before them."""
        self.on_changed: typing.Callable[[], None] = lambda: None
        """Called when the configuration or the table has changed."""
        self.on_limits: typing.Callable[[configuration.CallerLimits], None] = (
            lambda limits: None
        )
        """Called with the limits of each configuration that comes into
        force."""
        self.configuration_position = log_position.NO_POSITION
        """The position after the record of the configuration in its topic."""
        self._configuration_bytes = b''
        self._deflated: bytes | None = None
        self._stored: dict[str, _StoredEntry] = {}
        self._changes = change_log.ChangeLog()
        self._writes = entry_writes.EntryWrites()
        self.on_unproven: typing.Callable[[], None] = lambda: None
        """Called when an entry was ignored that a later write may confirm."""

    @property
    def version(self) -> int:
        """The version of the configuration; 0 while there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def known_version(self) -> ids.LogPosition:
        """Every change of the endpoints up to this position is known."""
        return max(
            self.endpoints_version,
            ids.LogPosition(self.endpoints_position - 1),
        )

    @property
    def limits(self) -> configuration.CallerLimits:
        """The limits on requests; defaults while there is no configuration."""
        if self.configuration is None:
            return configuration.CallerLimits()
        return self.configuration.limits

    def fold_operator(
        self, record: store.KeyedRecord, is_snapshot: bool
    ) -> None:
        """Fold a record of the operator's topic."""
        if record.key == platform_configuration.KEY and record.value:
            assert record.position is not None, (
                'a record of a topic has a position'
            )
            self.apply_configuration(
                record.value, 'store', ids.LogPosition(record.position + 1)
            )

    def apply_configuration(
        self, text: bytes, source: str, next_position: ids.LogPosition
    ) -> None:
        """Apply an encoded configuration if its version is newer.

        One that can't be decoded is logged and ignored.

        :param source: where it came from, for the log
        :param next_position: the position after its record in the topic
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
        for name in decoded.workspaces:
            if header_text.encode(name) is None:
                journal.problem(
                    'workspace',
                    outcome='unnameable',
                    workspace=repr(name),
                    version=decoded.version,
                )
        self.configuration = decoded
        self._configuration_bytes = text
        self._deflated = None
        self.configuration_position = next_position
        self.on_limits(decoded.limits)
        self.on_changed()

    def fold_endpoint(
        self, record: store.KeyedRecord, is_snapshot: bool
    ) -> None:
        """Fold a record of the endpoints' topic."""
        assert record.position is not None, (
            'a record of a topic has a position'
        )
        if self._apply_entry(
            record.key, record.value, record.position, 'store', is_snapshot
        ):
            self.on_changed()

    def end_snapshot(self, snapshot: topic_follower.Snapshot) -> set[str]:
        """Handle the end of a snapshot, whose records were folded.

        Returns the known entries that were deleted before it ended.
        """
        if snapshot.next > self.endpoints_position:
            # What was written and deleted in between isn't known here.
            self._changes.set_complete_from(snapshot.next)
            self._later_changes.append(ids.LogPosition(snapshot.next - 1))
        return {
            key
            for key, stored in self._stored.items()
            if stored.position < snapshot.end and key not in snapshot.keys
        }

    def handle_new_era(self) -> None:
        """The store has lost its latest records; what was known stays."""
        self.table.store_returned_s = self._loop.now_s
        self._writes.handle_new_era()

    def advance_position(self, position: ids.LogPosition) -> None:
        """Record that all entries before *position* have been folded."""
        self.endpoints_position = max(self.endpoints_position, position)
        later = self._later_changes
        self._later_changes = []
        for change in later:
            if change < self.endpoints_position:
                self.endpoints_version = max(self.endpoints_version, change)
            else:
                self._later_changes.append(change)

    def _apply_entry(
        self,
        key: str,
        value: bytes | None,
        position: ids.LogPosition,
        source: str,
        is_snapshot: bool = False,
    ) -> bool:
        """Apply the stored value of *key*; True if peers have to know it.

        Peers get what is in the store, also where this node does not apply it:
        a peer that adopts this node's version needs every change before that
        version.
        """
        before = self._stored.get(key)
        if self._is_outdated(before, position):
            return False
        if value is None:
            self._remove_entry(key)
            self._changes.record_removal(key, position)
            self._later_changes.append(position)
            return True
        self._store_entry(key, value, position, source, is_snapshot)
        after = self._stored.get(key)
        is_next_record = source == 'store' and not is_snapshot
        if _peer_relevant(before) == _peer_relevant(after) and (
            is_next_record or after is None
        ):
            return False
        # Where records between are not known, it may have changed to
        # something else and back.
        if after is None:
            self._changes.record_removal(key, position)
        else:
            self._changes.record_change(key, position)
        self._later_changes.append(position)
        return True

    def _is_outdated(
        self, stored: _StoredEntry | None, position: ids.LogPosition
    ) -> bool:
        """Whether later records of the key are known than that at *position*.

        A key that isn't stored, although all records up to then are known, has
        been deleted.
        """
        if stored is None:
            return position < self.endpoints_position
        return position < stored.position

    def _store_entry(
        self,
        key: str,
        value: bytes,
        position: ids.LogPosition,
        source: str,
        is_snapshot: bool,
    ) -> None:
        era = log_position.unpack(position).era
        stored = self._stored.get(key)
        if stored is not None and stored.value == value:
            self._stored[key] = stored._replace(position=position)
            return
        decoded = platform_endpoints.decode(key, value)
        if isinstance(decoded, outcome.Failure):
            journal.problem(
                'endpoint', outcome='unreadable', reason=str(decoded)
            )
            self._remove_entry(key)
            return
        write = entry_writes.Write(decoded.start_ms, decoded.writes)
        if self._writes.is_outdated(decoded.id, write, is_snapshot, era):
            journal.event(
                'endpoint',
                outcome='outdated',
                endpoint=key,
                write=write.number,
                state=decoded.state.value,
                source=source,
            )
            if stored is None:
                self.on_unproven()
            return
        self._writes.record(decoded.id, write, era)
        self._stored[key] = _StoredEntry(
            position, value, decoded.state, decoded.incarnation
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

    def _remove_entry(self, key: str) -> None:
        self._stored.pop(key, None)
        self._writes.record_removal(ids.EndpointId(key))
        if self.table.delete(ids.EndpointId(key), self._loop.now_s):
            journal.event('endpoint', outcome='gone', endpoint=key)

    def apply_leave_report(self, entry: endpoints.Endpoint) -> None:
        """Apply the report of an endpoint that it will end."""
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
        """Discard the entries that expired and were not written again."""
        for endpoint in self.table.expire(self._loop.now_s):
            journal.event('endpoint', outcome='lapsed', endpoint=endpoint)

    def shared_configuration(
        self, version: int
    ) -> node_updates.SharedConfiguration | None:
        """The configuration for a peer that has *version*.

        None if this node has no newer one.
        """
        if self.version <= version:
            return None
        if self._deflated is None:
            self._deflated = node_updates.deflate(self._configuration_bytes)
        return node_updates.SharedConfiguration(
            deflated=self._deflated,
            version=self.version,
            next_position=self.configuration_position,
        )

    def shared_endpoints(
        self, version: ids.LogPosition
    ) -> node_updates.SharedEndpoints:
        """The changes of the endpoints since *version*, for a peer.

        If the changes since then are no longer known, these are all entries.
        """
        changes = self._changes.since(version)
        is_whole = changes is None
        if changes is None:
            changes = self._changes.all()
        return node_updates.SharedEndpoints(
            changed={
                key: node_updates.StoreEntry(position, self._stored[key].value)
                for key, position in changes.changed.items()
            },
            removed=changes.removed,
            is_whole=is_whole,
            position=self.endpoints_position,
            version=self.endpoints_version,
        )

    def merge_shared_configuration(
        self, shared: node_updates.SharedConfiguration
    ) -> None:
        """Apply a peer's configuration if it is newer."""
        text = node_updates.inflate(shared.deflated)
        if isinstance(text, outcome.Failure):
            journal.problem(
                'configuration', outcome='unreadable', reason=str(text)
            )
            return
        self.apply_configuration(text, 'peer', shared.next_position)

    def merge_shared_endpoints(
        self, shared: node_updates.SharedEndpoints, source: str = 'peer'
    ) -> None:
        """Apply a peer's endpoints if its version is newer.

        Older builds tell a version in the middle of their first snapshot, and
        send what they have of it as all entries; they tell no position then.

        :param source: which peer it is, for the log
        """
        if shared.version <= self.known_version or shared.position < 0:
            return
        journal.event(
            'copy',
            outcome='merged',
            source=source,
            is_whole=shared.is_whole,
            changed=len(shared.changed),
            removed=len(shared.removed),
            version=shared.version,
            position=shared.position,
            before=self.endpoints_version,
            position_before=self.endpoints_position,
        )
        removed = dict(shared.removed)
        if shared.is_whole:
            for key in self._stored.keys() - shared.changed.keys():
                removed[key] = shared.version
        for key, position in removed.items():
            self._apply_entry(key, None, position, 'peer')
        for key, entry in shared.changed.items():
            self._apply_entry(key, entry.value, entry.position, 'peer')
        if shared.is_whole:
            self._changes.set_complete_from(
                ids.LogPosition(shared.version + 1)
            )
        # The peer knows all changes up to its version, as far as it has read.
        self._later_changes.append(shared.version)
        self.advance_position(shared.position)
