"""Starts faults in a seeded random order; several can overlap."""

import random
import typing

from guavachute.entry import loop as entry_loop
from guavachute.platform import store
from guavachute.standin.platform import cloud as standin_cloud
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import store as standin_store
from soak import programs
from soak import proxy

MOST_AT_ONCE = 4
LONGEST_S = 2.5
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
    Behaviour.SILENT,
)
STORE_FAULTS = (
    standin_store.Fault.BUSY,
    standin_store.Fault.SILENT,
    standin_store.Fault.LOST_ANSWERS,
)
LINK_FAULTS = tuple(mode for mode in proxy.Mode if mode is not mode.PASS)


class World(typing.Protocol):
    """The parts of a seed's run that faults affect."""

    loop: entry_loop.Loop
    rng: random.Random
    programs: list[programs.Program]
    store: standin_store.Store
    cloud: standin_cloud.Cloud
    engines: list[standin_engine.Engine]
    store_links: list[proxy.Proxy]
    engine_links: list[proxy.Proxy]

    def restart_engine(self, engine: standin_engine.Engine) -> None:
        """Crash and restart *engine*."""

    def change_configuration(self) -> None:
        """Write the next version of the configuration."""


class Faults:
    """Starts faults at random until :meth:`end`.

    :ivar log: the time and description of each fault, to trace a failure
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._open: dict[int, Undo] = {}
        self._next_number = 0
        self._is_ended = False
        self.log: list[str] = []

    def start(self) -> None:
        """Start the first fault after a pause."""
        self._world.loop.call_after(PAUSE_S, self._turn)

    def end(self) -> None:
        """Undo all active faults, and start no more."""
        self._is_ended = True
        for number in list(self._open):
            self._undo(number)

    def _turn(self) -> None:
        if self._is_ended:
            return
        if len(self._open) < MOST_AT_ONCE:
            name = self._world.rng.choice(KINDS)
            undo = getattr(self, f'_{name}')()
            if undo is not None:
                self._keep(undo)
        pause_s = self._world.rng.uniform(0.2, 1.8) * PAUSE_S
        self._world.loop.call_after(pause_s, self._turn)

    def _keep(self, undo: Undo) -> None:
        number = self._next_number
        self._next_number += 1
        self._open[number] = undo
        self._world.loop.call_after(
            self._world.rng.uniform(0.2, LONGEST_S),
            lambda: self._undo(number),
        )

    def _undo(self, number: int) -> None:
        undo = self._open.pop(number, None)
        if undo is not None:
            undo()

    def _note(self, what: str) -> None:
        self.log.append(f'{self._world.loop.now_s:.3f} {what}')

    def _program(self) -> programs.Program:
        program = self._world.rng.choice(self._world.programs)
        return program

    # -- the kinds; each returns how it is undone, or None --------------

    def _kill(self) -> Undo | None:
        program = self._program()
        if not program.is_running:
            return None
        self._note(f'kill {program.incarnation}')
        program.kill()
        return program.start

    def _kill_all(self) -> Undo | None:
        if self._world.rng.random() < 0.7:
            return None
        self._note('kill all')
        for program in self._world.programs:
            program.kill()

        def undo() -> None:
            for program in self._world.programs:
                if not program.is_running:
                    program.start()

        return undo

    def _stop(self) -> Undo | None:
        program = self._program()
        if not program.is_running:
            return None
        self._note(f'stop {program.incarnation}')
        program.stop()

        def undo() -> None:
            program.go_on()
            program.kill()
            program.start()

        return undo

    def _pause(self) -> Undo | None:
        program = self._program()
        if not program.is_running:
            return None
        self._note(f'pause {program.incarnation}')
        program.pause()
        return program.go_on

    def _reload(self) -> None:
        program = self._program()
        if program.is_running:
            self._note(f'reload {program.incarnation}')
            program.reload()

    def _store_link(self) -> Undo:
        return self._link(self._world.store_links, 'store')

    def _engine_link(self) -> Undo:
        return self._link(self._world.engine_links, 'engine')

    def _link(self, links: list[proxy.Proxy], name: str) -> Undo:
        place = self._world.rng.randrange(len(links))
        mode = self._world.rng.choice(LINK_FAULTS)
        self._note(f'{name} link {place} {mode.value}')
        link = links[place]
        link.mode = mode

        def undo() -> None:
            link.mode = proxy.Mode.PASS
            link.reset()

        return undo

    def _store(self) -> Undo:
        fault = self._world.rng.choice(STORE_FAULTS)
        self._note(f'store {fault.value}')
        self._world.store.fault = fault

        def undo() -> None:
            self._world.store.fault = standin_store.Fault.NONE

        return undo

    def _history(self) -> None:
        self._note('store drops its history')
        for topic in (store.OWN_TOPIC, standin_store.ENDPOINTS_TOPIC):
            self._world.store.drop_history(topic)

    def _cloud(self) -> Undo:
        self._note('cloud sends no answers')
        self._world.cloud.is_losing_answers = True

        def undo() -> None:
            self._world.cloud.is_losing_answers = False

        return undo

    def _engine(self) -> Undo:
        engine = self._world.rng.choice(self._world.engines)
        engine.behaviour = self._world.rng.choice(ENGINE_FAULTS)
        self._note(f'engine {engine.name} {engine.behaviour.value}')

        def undo() -> None:
            engine.behaviour = Behaviour.SOUND

        return undo

    def _engine_crash(self) -> None:
        engine = self._world.rng.choice(self._world.engines)
        self._note(f'engine {engine.name} crashes')
        self._world.restart_engine(engine)

    def _configuration(self) -> None:
        self._world.change_configuration()
        self._note('operator writes the next configuration')


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
    'cloud',
    'engine',
    'engine',
    'engine_crash',
    'configuration',
)
