"""Whether an endpoint that this node lost has ended, or just its link."""

import typing

from guavachute.entry import endpoint_registry
from guavachute.entry import loop as entry_loop
from guavachute.observe import journal

DELAY_S = 0.5
"""After this, updates have told whether another node still hears the
endpoint. They come four times a second."""


class DeathChecks:
    """Lets nothing be blamed for the end of an endpoint that others hear."""

    def __init__(
        self,
        loop: entry_loop.Loop,
        registry: endpoint_registry.EndpointRegistry,
    ) -> None:
        self._loop = loop
        self._registry = registry

    def check(
        self,
        record: endpoint_registry.EndpointRecord,
        on_dead: typing.Callable[[], None],
        on_alive: typing.Callable[[], None],
    ) -> None:
        """Find out whether an unreachable endpoint has ended.

        One of the callbacks is called, in a later turn of the loop.
        """

        def decide() -> None:
            if self._registry.is_reached_by_others(record):
                journal.event(
                    'endpoint',
                    outcome='reached-by-others',
                    endpoint=record.entry.id,
                    is_cut=self._registry.links.is_cut,
                )
                on_alive()
            else:
                on_dead()

        self._loop.call_after(DELAY_S, decide)

    def handle_unreachable(
        self, record: endpoint_registry.EndpointRecord
    ) -> None:
        """Report the end of an endpoint, unless just its link is broken."""
        self.check(
            record,
            lambda: self._registry.on_died(record),
            lambda: None,
        )
