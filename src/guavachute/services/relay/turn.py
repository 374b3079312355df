"""One iteration of an event loop whose handlers change registrations."""

import selectors
import typing

Handler = typing.Callable[[int], None]
"""Registered as the data of a selector's key; called with the events."""


def run_ready(selector: selectors.BaseSelector, timeout_s: float) -> None:
    """Wait up to *timeout_s* and run the handlers of ready descriptors.

    A handler may unregister others: when a caller disconnects, its
    endpoint's connection is closed although a token may have arrived on it
    in the same iteration. A descriptor that was unregistered or registered
    again during the iteration is skipped; if it is still ready, the next
    iteration reports it.
    """
    registered = selector.get_map()
    for key, events in selector.select(timeout_s):
        present = registered.get(key.fd)
        if present is not None and present.data is key.data:
            key.data(events)
