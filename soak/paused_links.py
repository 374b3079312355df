"""Plays links that pause beside planned work, while long streams run."""

import dataclasses
import typing

from soak import clients
from soak import guarantees
from soak import programs
from soak import seed_run
from soak import slow_links
from tests.support import cut_links
from tests.support import platform_site

LINK_PAUSE_RANGE_S = (0.8, 2.5)
STREAM_RANGE_S = (2.0, 6.0)
EVENTS = 50
TIMEOUT_MS = 15_000
POLL_S = 0.01
CUT_SLACK_S = 0.5
"""Streams may be cut this soon before the end of the grace period."""


class Caller:
    """Reads one stream after another from one process."""

    def __init__(self, run: 'PausedRun', program: programs.Program) -> None:
        self._run, self._program = run, program
        self.is_waiting = False
        run.loop.call_after(run.rng.uniform(0.0, 2.0), self._next)

    def _next(self) -> None:
        run = self._run
        if run.is_ending:
            return
        try:
            address = self._program.site.listen.callers
            assert address is not None
            sock = platform_site.CallerSocket(run.loop, address)
            request = run.new_stream(self._program.incarnation)
            sock.send(
                platform_site.request_bytes(
                    request.target,
                    request.attempt_id,
                    'POST',
                    request.body,
                    clients.KEYS[request.workspace],
                    Deadline_Ms=str(TIMEOUT_MS),
                )
            )
        except OSError:
            run.loop.call_after(slow_links.RETRY_S, self._next)
            return
        self.is_waiting = True
        self._poll(sock, request)

    def _poll(
        self, sock: platform_site.CallerSocket, sent: guarantees.Attempt
    ) -> None:
        loop, reply = self._run.loop, sock.reply
        waited_s = loop.now_s - sent.sent_s
        if not reply.has_ended and waited_s < TIMEOUT_MS / 1_000 + 1.0:
            loop.call_after(POLL_S, lambda: self._poll(sock, sent))
            return
        sent.status, sent.headers = reply.status, reply.headers
        sent.answer, sent.is_complete = reply.body, reply.ended_cleanly
        sent.is_framed, sent.is_malformed = reply.is_framed, reply.is_malformed
        sent.ended_s = loop.now_s
        sock.close()
        self.is_waiting = False
        loop.call_after(slow_links.RETRY_S, self._next)


class PausedRun(slow_links.SlowRun):
    """One seed: links to endpoints pause beside stops and changes."""

    caller_type = Caller
    callers_per_process = 6

    def new_stream(self, incarnation: str) -> guarantees.Attempt:
        """Return a request for a stream."""
        route = self.rng.choice(clients.ROUTES[:2])
        attempt = guarantees.Attempt(
            attempt_id=f'attempt-{len(self.attempts)}',
            route=dataclasses.replace(route, events=EVENTS),
            target=f'{route.path}{self.rng.randrange(9)}',
            body=b'question',
            workspace=self.rng.choice(sorted(clients.KEYS)),
            incarnation=incarnation,
            sent_s=self.loop.now_s,
            version=self.version,
        )
        self.attempts.append(attempt)
        return attempt

    def run(self) -> list[str]:
        """Play the whole series; return the violated guarantees."""
        self.stops_s: dict[str, float] = {}
        for engine in self.engines[seed_run.PLAIN_ENGINES :]:
            engine.events = EVENTS
            engine.event_pause_s = self.rng.uniform(*STREAM_RANGE_S) / EVENTS
        return super().run() + [
            f'begun answer ended by its node, {item.events} of {EVENTS} '
            f'events, after {item.ended_s - item.sent_s:.2f} s: {item}'
            for item in self.attempts
            if item.status == 200 and not item.is_complete
            and item.ended_s < self._cut_s(item.incarnation)
        ]  # fmt: skip

    def _cut_s(self, incarnation: str) -> float:
        """When the grace period of a stop allows the end of an answer."""
        grace_s = self.programs[0].site.bounds.stop_grace_s - CUT_SLACK_S
        return self.stops_s.get(incarnation, float('inf')) + grace_s

    def route_fields(self) -> dict[str, typing.Any]:
        """Return what a version sets for its routes."""
        attempts = self.rng.randint(1, 2)
        return {'timeoutMs': TIMEOUT_MS, 'maxAttempts': attempts}

    def _stop(self, program: programs.Program) -> None:
        if not any(
            item.incarnation in self.stops_s and item.is_running
            for item in self.programs
        ):
            self.stops_s[program.incarnation] = self.loop.now_s
            super()._stop(program)

    def _pause(self, program: programs.Program) -> None:
        if self._paused:
            return
        self._paused.add(program.site.node)
        self._note(f'links of {program.incarnation} pause')
        program.cut_links(cut_links.Mode.HANG)

        def resume() -> None:
            self._paused.clear()
            self._note(f'links of {program.incarnation} pass')
            program.cut_links(cut_links.Mode.OPEN)

        self.loop.call_after(self.rng.uniform(*LINK_PAUSE_RANGE_S), resume)
