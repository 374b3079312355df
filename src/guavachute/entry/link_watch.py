"""Watches whether this node reaches endpoints, and tests its links."""

import itertools
import typing

from guavachute.decide.ingress import endpoint_links
from guavachute.entry import endpoint_registry
from guavachute.entry import loop as entry_loop
from guavachute.entry import transport
from guavachute import ids
from guavachute.observe import journal
from guavachute.observe import metrics as observe_metrics

PERIOD_S = 0.25

PROBE_TIMEOUT_S = 0.4
"""A connection between regions is established in less than a fifth of this."""

MAX_PROBES = 2
"""Connections that are tried at the same time: two have to fail before the
node counts as cut off."""


class LinkWatch:
    """Finds out when this node is cut off from all endpoints, and when not.

    Connections without a request test the links, few at a time: while requests
    wait and no endpoint is heard, and while the node is cut off.

    :param on_changed: called when the links are lost or regained
    :param on_link_lost: called with an address that was not reached
    :param on_failing: called again and again while some are not reached
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        registry: endpoint_registry.EndpointRegistry,
        metrics: observe_metrics.Metrics,
        on_changed: typing.Callable[[endpoint_links.LinkState], None],
        on_link_lost: typing.Callable[[ids.Address], None],
        on_failing: typing.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._registry = registry
        self._metrics = metrics
        self._on_changed = on_changed
        self._on_link_lost = on_link_lost
        self._on_failing = on_failing
        self._probes: dict[ids.Address, _Probe] = {}
        self._turns = itertools.count()
        self._other_turns = itertools.count()
        self._cut_since_s = 0.0
        metrics.gauge('endpoint_links_cut', lambda: registry.links.is_cut)

    def start(self) -> None:
        """Start to watch."""
        self._loop.every(PERIOD_S, self._check)

    def close(self) -> None:
        """Close the connections that test links."""
        for probe in list(self._probes.values()):
            probe.close()
        self._probes.clear()

    def _check(self) -> None:
        now_s = self._loop.now_s
        links = self._registry.links
        before = links.state
        state = links.assess(self._registry.heard_at_by_others_s)
        if state is not before:
            self._handle_change(state, now_s)
        if state is endpoint_links.LinkState.CUT:
            self._probe(self._registry.addresses(), MAX_PROBES, self._turns)
            # Some were not silent for long enough when the cut was found.
            self._on_failing()
        else:
            silent = links.silent(self._registry.heard_at_by_others_s, now_s)
            if silent:
                others = self._others(silent, now_s)
                self._probe(others, 1, self._other_turns)
                self._probe(silent, MAX_PROBES - bool(others), self._turns)
            if links.failing():
                self._on_failing()

    def _handle_change(
        self, state: endpoint_links.LinkState, now_s: float
    ) -> None:
        is_cut = state is endpoint_links.LinkState.CUT
        if is_cut:
            self._metrics.add('endpoint_links_lost')
            self._cut_since_s = now_s
        journal.event(
            'endpoint-links',
            outcome='lost' if is_cut else 'regained',
            lost_s=None if is_cut else round(now_s - self._cut_since_s, 3),
            failing=len(self._registry.links.failing()),
        )
        self._on_changed(state)

    def _others(
        self, silent: typing.Sequence[ids.Address], now_s: float
    ) -> list[ids.Address]:
        """Links of which one tells whether just the silent ones are at fault.

        None are needed for a while after a test connection was established.
        """
        if self._registry.links.has_established(now_s):
            return []
        return [
            address
            for address in self._registry.addresses()
            if address not in silent
        ]

    def _probe(
        self,
        addresses: typing.Sequence[ids.Address],
        count: int,
        turns: typing.Iterator[int],
    ) -> None:
        """Test up to *count* of the links, in turns."""
        known = set(self._registry.addresses())
        able = [item for item in addresses if item in known]
        for _ in range(min(count, len(able))):
            address = able[next(turns) % len(able)]
            if len(self._probes) < MAX_PROBES and address not in self._probes:
                self._probes[address] = _Probe(
                    self._loop, address, self._handle_result
                )

    def _handle_result(
        self, address: ids.Address, started_s: float, is_established: bool
    ) -> None:
        self._probes.pop(address, None)
        now_s = self._loop.now_s
        if is_established:
            self._registry.links.record_established(address, now_s)
        else:
            self._registry.links.record_failure(address, started_s, now_s)
            self._on_link_lost(address)


class _Probe:
    """A connection that is closed as soon as it is established."""

    def __init__(
        self,
        loop: entry_loop.Loop,
        address: ids.Address,
        done: typing.Callable[[ids.Address, float, bool], None],
    ) -> None:
        self._address = address
        self._done = done
        self._started_s = loop.now_s
        self._timer = loop.call_after(
            PROBE_TIMEOUT_S, lambda: self._finish(False)
        )
        self._connection = transport.connect(loop, address)
        if self._connection is not None:
            self._connection.owner = self

    def received(self, data: bytes) -> None:
        """Ignored: no request was sent."""

    def ended(self, is_clean: bool) -> None:
        """The connection was refused or broke."""
        self._finish(False)

    def drained(self) -> None:
        """The connection is established."""
        self._finish(True)

    def close(self) -> None:
        """Close without a result."""
        self._timer.cancel()
        if self._connection is not None:
            self._connection.close()

    def _finish(self, is_established: bool) -> None:
        self.close()
        self._done(self._address, self._started_s, is_established)
