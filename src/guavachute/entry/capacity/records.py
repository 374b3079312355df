"""Records of the usual times of services in the store.

Nodes that all start together begin with them. The first reader of a region
writes them, rarely, and only if they have changed much.
"""

import typing

from guavachute.decide.ingress.capacity import service_speed
from guavachute.entry import control_client
from guavachute.entry import loop as entry_loop
from guavachute.entry import store_client
from guavachute.entry import store_writer
from guavachute import ids
from guavachute.observe import journal
from guavachute import outcome
from guavachute.platform import store
from guavachute.wire import node_updates

KEY_PREFIX = 'capacity/'
MAX_KEY_BYTES = 200

MAX_SERVICES = 64
"""Services whose records are kept; those of others are ignored."""

WRITE_INTERVAL_S = 60.0
"""Time between two records of one service by one node."""

CHANGE = 1.25
"""A record is written if a time differs from the stored one by this factor."""

TIMEOUT_S = 2.0

US = 1_000_000


class SpeedRecords:
    """Reads and writes the records of usual times.

    :param speeds: what this node has measured, by service
    :param speed: gives what is known of a service, which may be new
    :param is_writer: whether this node writes records
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        client: store_client.StoreClient,
        speeds: typing.Mapping[ids.ServiceName, service_speed.ServiceSpeed],
        speed: typing.Callable[[ids.ServiceName], service_speed.ServiceSpeed],
        is_writer: typing.Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._client = client
        self._speeds = speeds
        self._speed = speed
        self._is_writer = is_writer
        self._stored: dict[ids.ServiceName, node_updates.CapacityRecord] = {}
        self._written_s: dict[ids.ServiceName, float] = {}

    def fold(self, record: store.KeyedRecord) -> None:
        """Apply a record that was read."""
        service = ids.ServiceName(record.key.removeprefix(KEY_PREFIX))
        if record.value is None:
            self._stored.pop(service, None)
            return
        decoded = node_updates.decode_capacity(record.value)
        if isinstance(decoded, outcome.Failure):
            journal.problem(
                'capacity',
                outcome='unreadable',
                service=service,
                reason=str(decoded),
            )
            return
        if service not in self._stored and len(self._stored) >= MAX_SERVICES:
            return
        self._stored[service] = decoded
        _start_from(self._speed(service), decoded)

    def handle_new_era(self) -> None:
        """The store has come back from a copy, which may lack any record."""
        self._stored.clear()

    def write(self) -> None:
        """Write what has changed much; called about every half second."""
        if not self._is_writer():
            return
        now_s = self._loop.now_s
        for service, speed in self._speeds.items():
            last_s = self._written_s.get(service, float('-inf'))
            if not speed.is_known or now_s - last_s < WRITE_INTERVAL_S:
                continue
            found = record_of(speed)
            key = KEY_PREFIX + service
            if (
                not _differs(self._stored.get(service), found)
                or len(key.encode()) > MAX_KEY_BYTES
            ):
                continue
            self._written_s[service] = now_s
            self._append(service, found)

    def _append(
        self, service: ids.ServiceName, found: node_updates.CapacityRecord
    ) -> None:
        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            is_done = (
                isinstance(reply, control_client.Reply) and reply.status == 200
            )
            journal.event(
                'capacity',
                outcome='written' if is_done else 'not-written',
                service=service,
            )

        store_writer.append(
            self._client,
            store.OWN_TOPIC,
            store.KeyedRecord(
                KEY_PREFIX + service, node_updates.encode(found)
            ),
            None,
            handle_reply,
            TIMEOUT_S,
        )


def encode(speed: service_speed.ServiceSpeed) -> bytes:
    """The content of the record of what was measured."""
    return node_updates.encode(record_of(speed))


def record_of(
    speed: service_speed.ServiceSpeed,
) -> node_updates.CapacityRecord:
    """What was measured, as it is stored."""
    first, plain = speed.first_token, speed.plain
    return node_updates.CapacityRecord(
        first_token=(round(US * first.base_s), round(US * 1000 * first.unit_s))
        if first.is_known
        else None,
        plain=(round(US * plain.base_s), round(US * plain.unit_s))
        if plain.is_known
        else None,
        slot=None if speed.slot_s is None else round(US * speed.slot_s),
        token=None
        if speed.token_s is None
        else round(1000 * US * speed.token_s),
    )


def _start_from(
    speed: service_speed.ServiceSpeed, record: node_updates.CapacityRecord
) -> None:
    if record.first_token is not None:
        base, unit = record.first_token
        speed.first_token.start_from(base / US, unit / US / 1000)
    if record.plain is not None:
        base, unit = record.plain
        speed.plain.start_from(base / US, unit / US)
    if record.slot is not None and speed.slot_s is None:
        speed.record_slot(record.slot / US)
    if record.token is not None and speed.token_s is None:
        speed.record_token(record.token / US / 1000)


def _differs(
    stored: node_updates.CapacityRecord | None,
    found: node_updates.CapacityRecord,
) -> bool:
    """Whether *found* differs much; times of some microseconds are alike."""
    return stored is None or any(
        max(new, 1_000) > CHANGE * max(old, 1_000)
        or max(old, 1_000) > CHANGE * max(new, 1_000)
        for old, new in zip(_times(stored), _times(found), strict=True)
    )


def _times(record: node_updates.CapacityRecord) -> list[int]:
    return [
        *(record.first_token or (0, 0)),
        *(record.plain or (0, 0)),
        record.slot or 0,
        record.token or 0,
    ]
