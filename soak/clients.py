"""Simulated clients, which keep their connections until they close."""

import dataclasses
import itertools
import random
import typing

from guavachute.entry import loop as entry_loop
from soak import guarantees
from soak import programs
from tests.support import platform_site

STREAM_EVENTS = 6
ANSWER_TIMEOUT_S = 4.5
"""How long a client waits; more than the deadline in its requests."""

PAUSE_S = 0.04
"""Average time between an answer and the client's next request."""

BAD_PART = 'bad'
"""The prompt part that crashes engines while there is such a fault."""

BAD_FRACTION = 0.2
"""The fraction of requests for streams that have it then."""

TAKE_UPS = 3
"""How often a client tries to go on with a stream that broke off."""

PROBE_FRACTION = 0.15
"""The fraction of requests to a route that one version introduced."""

ROUTES = (
    guarantees.Route('/stream/', STREAM_EVENTS, can_run_again=False),
    guarantees.Route('/resumable/', STREAM_EVENTS, can_run_again=True),
    guarantees.Route('/order/', 0, can_run_again=False),
    guarantees.Route('/lookup/', 0, can_run_again=True),
)
PROBE = guarantees.Route('/v', 0, can_run_again=True)
KEYS = {
    'botany': platform_site.KEY,
    'zoology': platform_site.OTHER_KEY,
}


class Context(typing.Protocol):
    """The parts of a seed's run that clients use."""

    loop: entry_loop.Loop
    rng: random.Random
    programs: list[programs.Program]
    version: int
    sends_bad_part: bool

    def has_only_planned_work(self) -> bool:
        """Return whether only planned work disturbs the site now."""


class Client:
    """Sends one request at a time and records the answers."""

    def __init__(
        self,
        context: Context,
        numbers: typing.Iterator[int],
        attempts: list[guarantees.Attempt],
    ) -> None:
        self._context = context
        self._numbers = numbers
        self._attempts = attempts
        self._socket: platform_site.CallerSocket | None = None
        self._program: programs.Program | None = None
        self._incarnation = ''
        self._attempt: guarantees.Attempt | None = None
        self._broken: guarantees.Attempt | None = None
        self._take_ups = 0
        self._is_stopped = False

    def start(self) -> None:
        """Send the first request after a random pause.

        The pause keeps the clients from starting all at the same time.
        """
        self._context.loop.call_after(
            self._context.rng.uniform(0.0, PAUSE_S), self._next
        )

    def stop(self) -> None:
        """Send no more requests; an answer is still awaited."""
        self._is_stopped = True

    @property
    def is_waiting(self) -> bool:
        """Whether an answer is still awaited."""
        return self._attempt is not None

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _next(self) -> None:
        if self._is_stopped:
            return
        if self._socket is not None and self._socket.reply.is_closed:
            self.close()
        if self._socket is None and not self._connect():
            self._context.loop.call_after(5 * PAUSE_S, self._next)
            return
        self._send()

    def _connect(self) -> bool:
        running = [item for item in self._context.programs if item.is_running]
        if not running:
            return False
        program = self._context.rng.choice(running)
        address = program.site.listen.callers
        assert address is not None
        try:
            self._socket = platform_site.CallerSocket(
                self._context.loop, address
            )
        except OSError:
            return False
        self._program, self._incarnation = program, program.incarnation
        return True

    def _send(self) -> None:
        assert self._socket is not None and self._program is not None
        context = self._context
        if self._broken is not None:
            self._take_up(self._broken)
            return
        route = context.rng.choice(ROUTES)
        target = f'{route.path}{context.rng.randrange(9)}'
        if context.rng.random() < PROBE_FRACTION:
            route = PROBE
            target = f'/v{context.rng.randint(1, context.version)}/x'
        has_bad_part = (
            route.events > 0
            and context.sends_bad_part
            and context.rng.random() < BAD_FRACTION
        )
        workspace = context.rng.choice(sorted(KEYS))
        attempt = guarantees.Attempt(
            attempt_id=f'attempt-{next(self._numbers)}',
            route=route,
            target=target,
            body=b'question %d' % context.rng.randrange(1_000),
            workspace=workspace,
            incarnation=self._incarnation,
            sent_s=context.loop.now_s,
            version=context.version,
            has_bad_part=has_bad_part,
            during_planned_work=context.has_only_planned_work(),
        )
        self._send_attempt(attempt)

    def _take_up(self, broken: guarantees.Attempt) -> None:
        """Go on with a stream at whatever node the connection leads to."""
        self._take_ups += 1
        if self._take_ups >= TAKE_UPS:
            self._broken = None
        self._send_attempt(
            dataclasses.replace(
                broken,
                attempt_id=f'attempt-{next(self._numbers)}',
                incarnation=self._incarnation,
                sent_s=self._context.loop.now_s,
                version=self._context.version,
                during_planned_work=self._context.has_only_planned_work(),
                begun_as=broken.stream,
                events_before=broken.events_before + broken.events,
                status=0,
                headers={},
                answer=b'',
                is_complete=False,
                ended_s=0.0,
            ),
            Last_Event_Id=str(broken.events_before + broken.events),
            Resumes=broken.stream,
        )

    def _send_attempt(
        self, attempt: guarantees.Attempt, **headers: str
    ) -> None:
        assert self._socket is not None
        context = self._context
        self._attempt = attempt
        self._attempts.append(attempt)
        part = (
            BAD_PART
            if attempt.has_bad_part
            else f'sound-{len(attempt.target)}'
        )
        data = platform_site.request_bytes(
            attempt.target,
            attempt.attempt_id,
            'POST',
            attempt.body,
            KEYS[attempt.workspace],
            Prefix_Hash=f'system:50,{part}:20,{attempt.attempt_id}:5',
            **headers,
        )
        try:
            self._socket.send(data)
        except OSError:
            self.close()
            self._finish(attempt)
            return
        self._poll_reply(attempt, context.loop.now_s + ANSWER_TIMEOUT_S)

    def _poll_reply(self, attempt: guarantees.Attempt, end_s: float) -> None:
        assert self._socket is not None
        reply = self._socket.reply
        if not reply.has_ended and self._context.loop.now_s < end_s:
            self._context.loop.call_after(
                0.005, lambda: self._poll_reply(attempt, end_s)
            )
            return
        attempt.status = reply.status
        attempt.headers = reply.headers
        attempt.answer = reply.body
        attempt.is_complete = reply.ended_cleanly
        attempt.is_framed = reply.is_framed
        attempt.is_malformed = reply.is_malformed
        if not self._context.has_only_planned_work():
            attempt.during_planned_work = False
        if not reply.is_complete or reply.headers.get('connection') == 'close':
            self.close()
        self._finish(attempt)

    def _finish(self, attempt: guarantees.Attempt) -> None:
        attempt.ended_s = self._context.loop.now_s
        self._attempt = None
        if attempt.is_broken_off:
            if not attempt.begun_as:
                self._take_ups = 0
            self._broken = attempt if self._take_ups < TAKE_UPS else None
        elif attempt.is_complete and 200 <= attempt.status < 300:
            self._broken = None
        if self._socket is not None and self._socket.reply.is_closed:
            self.close()
        self._context.loop.call_after(
            self._context.rng.uniform(0.5, 1.5) * PAUSE_S, self._next
        )


def make_clients(
    context: Context, number: int, attempts: list[guarantees.Attempt]
) -> list[Client]:
    """Create *number* clients, whose attempt ids are unique."""
    numbers = itertools.count(1)
    return [Client(context, numbers, attempts) for _ in range(number)]
