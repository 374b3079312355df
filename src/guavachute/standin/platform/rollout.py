"""A stand-in for the operator who rolls out versions of a service's software.

It writes requests, reads the status, stops the old endpoints at once when a
roll-out is completed, and ends the new ones some seconds after one was rolled
back.
"""

import collections.abc

import msgspec

from guavachute.entry import loop as entry_loop
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import store as standin_store

STATUS_TOPIC = 'keyed.status'
DRAIN_AFTER_S = 3.0
WATCH_S = 0.02


class Operator:
    """Requests a roll-out, and acts on its status as the platform does.

    :ivar new: the endpoints of the target, which drain after a roll-back
    :ivar states: the states that were written, in order and without repeats
    :ivar ended_s: loop time at which it was completed or rolled back; None
        before
    :ivar cut_runs: requests that still ran at old endpoints when they stopped
    """

    def __init__(
        self,
        loop: entry_loop.Loop,
        store: standin_store.Store,
        service: str,
    ) -> None:
        self._loop = loop
        self._store = store
        self._service = service
        self._key = f'rollout/{service}'
        self._target = ''
        self._old: list[standin_engine.Engine] = []
        self.new: list[standin_engine.Engine] = []
        self.requested_s = 0.0
        self.states: list[str] = []
        self.ended_s: float | None = None
        self.cut_runs = 0
        loop.every(WATCH_S, self._watch)

    def request(
        self,
        target: str,
        duration_s: float,
        old: collections.abc.Sequence[standin_engine.Engine] = (),
        new: collections.abc.Sequence[standin_engine.Engine] = (),
    ) -> None:
        """Request that the traffic moves from *old* to *new* endpoints."""
        self._target, self._old, self.new = target, list(old), list(new)
        self.requested_s = self._loop.now_s
        self.states, self.ended_s = [], None
        self._store.put(
            standin_store.OPERATOR_TOPIC,
            self._key,
            msgspec.json.encode(
                {
                    'service': self._service,
                    'target': target,
                    'durationS': duration_s,
                }
            ),
        )

    def _watch(self) -> None:
        value = self._store.newest(STATUS_TOPIC, self._key)
        if value is None or self.ended_s is not None:
            return
        status = msgspec.json.decode(value)
        if status['target'] != self._target:
            return
        if self.states[-1:] != [status['state']]:
            self.states.append(status['state'])
        if status['state'] == 'completed':
            self.ended_s = self._loop.now_s
            for engine in self._old:
                self.cut_runs += engine.running
                engine.unregister()
                engine.close()
        elif status['state'] == 'rolled_back':
            self.ended_s = self._loop.now_s
            self._loop.call_after(DRAIN_AFTER_S, self._drain_new)

    def _drain_new(self) -> None:
        for engine in self.new:
            engine.register(state='draining', leaves_ms=2_000)
