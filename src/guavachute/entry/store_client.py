"""Calls the platform's store, and detects that it came back from a copy.

Then the store has lost its latest records and assigns their offsets again;
each answer says how often that has happened, which is the store's era.
"""

import typing

from guavachute.entry import control_client
from guavachute.entry import loop as entry_loop
from guavachute import ids
from guavachute.observe import journal
from guavachute.platform import store


class StoreClient:
    """Calls the store; nobody gets an answer that is of an earlier era.

    :ivar on_new_era: each is called when the era becomes known or has grown,
        before the answer that told it is passed on; its argument is whether
        the era was known before, so that records may have been lost
    """

    def __init__(self, loop: entry_loop.Loop, address: ids.Address) -> None:
        self._client = control_client.Client(loop, address)
        self._era: ids.StoreEra | None = None
        self.on_new_era: list[typing.Callable[[bool], None]] = []

    @property
    def era(self) -> ids.StoreEra:
        """The latest known era; 0 while none is known."""
        return ids.StoreEra(0) if self._era is None else self._era

    @property
    def told_era(self) -> ids.StoreEra | None:
        """The latest known era; None if nobody has told it."""
        return self._era

    def close(self) -> None:
        """Close all connections and cancel all pending calls."""
        self._client.close()

    def call(
        self,
        request: store.Request,
        done: control_client.Done,
        timeout_s: float,
    ) -> control_client.Cancel:
        """Send *request*; *done* is called once, in a later turn of the loop.

        It gets :attr:`control_client.CallFailure.OTHER_ERA` if the era has
        changed between the call and its answer. Returns a function that
        cancels the call.
        """
        sent_era = self._era

        def handle_reply(
            reply: control_client.Reply | control_client.CallFailure,
        ) -> None:
            if isinstance(reply, control_client.Reply):
                answered_era = store.era_of(reply.headers)
                if answered_era is not None:
                    self.observe_era(answered_era, 'store')
                    if answered_era != self._era or sent_era not in (
                        None,
                        answered_era,
                    ):
                        reply = control_client.CallFailure.OTHER_ERA
            done(reply)

        return self._client.call(
            request.method,
            request.target,
            handle_reply,
            timeout_s,
            body=request.body,
            headers=[(b'Content-Type', request.content_type)]
            if request.body
            else [],
        )

    def observe_era(self, era: ids.StoreEra, source: str) -> None:
        """Apply an era that an answer or another node has named.

        :param source: who named it, for the log
        """
        before = self._era
        if before is not None and era <= before:
            return
        self._era = era
        if before is None:
            journal.event('store-era', outcome='known', era=era, source=source)
        else:
            journal.problem(
                'store-era',
                outcome='changed',
                era=era,
                before=before,
                source=source,
            )
        for handle in self.on_new_era:
            handle(before is not None)
