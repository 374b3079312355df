"""Appends records with keys to the system's own topics."""

from guavachute.entry import control_client
from guavachute.entry import store_client
from guavachute import ids
from guavachute.platform import store


def append(
    client: store_client.StoreClient,
    topic: str,
    record: store.KeyedRecord,
    at: ids.Offset | None,
    done: control_client.Done,
    timeout_s: float,
) -> None:
    """Append *record*; with *at*, only if the topic ends at that offset.

    A call without a reply may have had its effect, or have it later while its
    condition holds.
    """
    request = store.append(topic, [store.encode_keyed(record)], at)
    client.call(request, done, timeout_s)
