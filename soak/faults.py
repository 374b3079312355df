"""Starts faults in a seeded random order; several can overlap."""

import random
import typing

from guavachute.entry import loop as entry_loop
from guavachute.platform import store
from guavachute.standin.platform import cloud as standin_cloud
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import store as standin_store
from soak import clients
from soak import programs
from soak import proxy

MAX_CONCURRENT = 4
MAX_DURATION_S = 2.5
PAUSE_S = 0.35

Undo = typing.Callable[[], None]

Behaviour = standin_engine.Behaviour

ENGINE_FAULTS = (
    Behaviour.SHED,
    Behaviour.FAIL,
    Behaviour.LOSE,
    Behaviour.BREAK,
    Behaviour.EXTRA,
    Behaviour.FOREIGN_FIRST,
    Behaviour.UNSIGNED,
    Behaviour.UNFRAMED,
    Behaviour.UNFRAMED_BREAK,
    Behaviour.UNFRAMED_RESET,
    Behaviour.TORN,
    Behaviour.SILENT,
)
STORE_FAULTS = (
    standin_store.Fault.BUSY,
    standin_store.Fault.SILENT,
    standin_store.Fault.LOST_ANSWERS,
)
LINK_FAULTS = tuple(mode for mode in proxy.Mode if mode is not mode.PASS)


class Context(typing.Protocol):
    """The parts of a seed's run that faults affect."""

    loop: entry_loop.Loop
    rng: random.Random
    programs: list[programs.Program]
    store: standin_store.Store
    cloud: standin_cloud.Cloud
    engines: list[standin_engine.Engine]
    store_links: list[proxy.Proxy]
    engine_links: list[proxy.Proxy]
    sends_bad_part: bool

    def restart_engine(self, engine: standin_engine.Engine) -> None:
        """Crash and restart *engine*."""

    def release(self) -> Undo | None:
        """Start an endpoint of the next build; an older one leaves later."""

    def change_configuration(self) -> None:
        """Write the next version of the configuration."""

    def write_configuration(self) -> None:
        """Write the newest version of the configuration again."""


class Faults:
    """Starts faults at random until :meth:`end`.

    :ivar log: the time and description of each fault, to trace a failure
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._active: dict[int, Undo] = {}
        self._next_number = 0
        self._has_ended = False
        self.log: list[str] = []

    def start(self) -> None:
        """Start the first fault after a pause."""
        self._context.loop.call_after(PAUSE_S, self._start_next)

    def end(self) -> None:
        """Undo all active faults, and start no more."""
        self._has_ended = True
        for number in list(self._active):
            self._undo(number)

    def _start_next(self) -> None:
        if self._has_ended:
            return
        if len(self._active) < MAX_CONCURRENT:
            name = self._context.rng.choice(KINDS)
            undo = getattr(self, f'_{name}')()
            if undo is not None:
                self._schedule_undo(undo)
        pause_s = self._context.rng.uniform(0.2, 1.8) * PAUSE_S
        self._context.loop.call_after(pause_s, self._start_next)

    def _schedule_undo(self, undo: Undo) -> None:
        number = self._next_number
        self._next_number += 1
        self._active[number] = undo
        self._context.loop.call_after(
            self._context.rng.uniform(0.2, MAX_DURATION_S),
            lambda: self._undo(number),
        )

    def _undo(self, number: int) -> None:
        undo = self._active.pop(number, None)
        if undo is not None:
            undo()

    def _record(self, event: str) -> None:
        self.log.append(f'{self._context.loop.now_s:.3f} {event}')

    def _choose_program(self) -> programs.Program:
        program = self._context.rng.choice(self._context.programs)
        return program

    # -- the kinds; each returns how it is undone, or None --------------

    def _kill(self) -> Undo | None:
        program = self._choose_program()
        if not program.is_running:
            return None
        self._record(f'kill {program.incarnation}')
        program.kill()
        return program.start

    def _kill_all(self) -> Undo | None:
        if self._context.rng.random() < 0.7:
            return None
        self._record('kill all')
        for program in self._context.programs:
            program.kill()

        def undo() -> None:
            for program in self._context.programs:
                if not program.is_running:
                    program.start()

        return undo

    def _stop(self) -> Undo | None:
        program = self._choose_program()
        if not program.is_running:
            return None
        self._record(f'stop {program.incarnation}')
        program.stop()

        def undo() -> None:
            program.resume()
            program.kill()
            program.start()

        return undo

    def _pause(self) -> Undo | None:
        program = self._choose_program()
        if not program.is_running:
            return None
        self._record(f'pause {program.incarnation}')
        program.pause()
        return program.resume

    def _reload(self) -> None:
        program = self._choose_program()
        if program.is_running:
            self._record(f'reload {program.incarnation}')
            program.reload()

    def _store_link(self) -> Undo:
        return self._start_link_fault(self._context.store_links, 'store')

    def _engine_link(self) -> Undo:
        return self._start_link_fault(self._context.engine_links, 'engine')

    def _start_link_fault(self, links: list[proxy.Proxy], name: str) -> Undo:
        index = self._context.rng.randrange(len(links))
        mode = self._context.rng.choice(LINK_FAULTS)
        self._record(f'{name} link {index} {mode.value}')
        link = links[index]
        link.mode = mode

        def undo() -> None:
            link.mode = proxy.Mode.PASS
            link.reset()

        return undo

    def _store(self) -> Undo:
        fault = self._context.rng.choice(STORE_FAULTS)
        self._record(f'store {fault.value}')
        self._context.store.fault = fault

        def undo() -> None:
            self._context.store.fault = standin_store.Fault.NONE

        return undo

    def _history(self) -> None:
        self._record('store drops its history')
        for topic in (store.OWN_TOPIC, standin_store.ENDPOINTS_TOPIC):
            self._context.store.drop_history(topic)

    def _copy(self) -> Undo:
        self._record('store is copied')
        self._context.store.make_copy()

        def undo() -> None:
            self._record('store comes back from its copy')
            self._context.store.restore_copy()
            # Endpoints write their entries again with their next heartbeat.
            self._context.write_configuration()

        return undo

    def _leaving(self) -> Undo | None:
        engine = self._context.rng.choice(self._context.engines)
        if engine.is_leaving:
            return None
        self._record(f'engine {engine.name} says that it leaves')
        engine.is_leaving = True

        def undo() -> None:
            engine.is_leaving = False
            self._context.restart_engine(engine)

        return undo

    def _pausing(self) -> Undo:
        engine = self._context.rng.choice(self._context.engines)
        engine.retry_after = f'{self._context.rng.uniform(0.1, 2.0):.2f}'
        engine.behaviour = Behaviour.SHED
        self._record(f'engine {engine.name} pauses {engine.retry_after} s')

        def undo() -> None:
            engine.retry_after = None
            engine.behaviour = Behaviour.NORMAL

        return undo

    def _cloud(self) -> Undo:
        self._record('cloud sends no answers')
        self._context.cloud.drops_answers = True

        def undo() -> None:
            self._context.cloud.drops_answers = False

        return undo

    def _engine(self) -> Undo:
        engine = self._context.rng.choice(self._context.engines)
        engine.behaviour = self._context.rng.choice(ENGINE_FAULTS)
        self._record(f'engine {engine.name} {engine.behaviour.value}')

        def undo() -> None:
            engine.behaviour = Behaviour.NORMAL

        return undo

    def _engine_crash(self) -> None:
        engine = self._context.rng.choice(self._context.engines)
        self._record(f'engine {engine.name} crashes')
        self._context.restart_engine(engine)

    def _bad_part(self) -> None:
        """From now on a part of some prompts crashes engines."""
        for engine in self._context.engines:
            engine.crashing_part = clients.BAD_PART
        self._context.sends_bad_part = True
        self._record('a prompt part crashes engines')

    def _release(self) -> Undo | None:
        self._record('an endpoint is replaced by one of the next build')
        return self._context.release()

    def _configuration(self) -> None:
        self._context.change_configuration()
        self._record('operator writes the next configuration')


KINDS = (
    'kill',
    'kill_all',
    'stop',
    'pause',
    'reload',
    'store_link',
    'engine_link',
    'store',
    'history',
    'copy',
    'leaving',
    'pausing',
    'cloud',
    'engine',
    'engine',
    'engine_crash',
    'bad_part',
    'configuration',
    'release',
)
