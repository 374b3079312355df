"""One turn of a selector whose handlers change what is registered."""

import selectors
import typing

Handler = typing.Callable[[int], None]
"""Registered as the data of a selector's key; takes the events."""


def run_ready(selector: selectors.BaseSelector, timeout_s: float) -> None:
    """Wait, and run the handlers of what is ready.

    A handler may unregister others: a caller that hangs up takes its
    endpoint's connection with it, although a token has come on that in
    the same turn. What is not registered any more, or anew, is left
    out; if it is still ready the next turn reports it again.
    """
    registered = selector.get_map()
    for key, events in selector.select(timeout_s):
        present = registered.get(key.fd)
        if present is not None and present.data is key.data:
            key.data(events)
