"""The store and the engines of the scripts: the project's stand-ins.

Reads a command a line from standard input, and answers each with a line.
"""

import json
import sys
import threading

import logbook

from guavachute.entry import loop as entry_loop
from guavachute.standin.platform import engine as standin_engine
from guavachute.standin.platform import store as standin_store

COMMAND_PERIOD_S = 0.01


def main():
    loop = entry_loop.Loop()
    store = standin_store.Store(loop)
    engines = {}
    outside = []
    commands = []
    def read():
        for line in iter(sys.stdin.readline, ''):
            commands.append(line)

    reader = threading.Thread(target=read, daemon=True)
    reader.start()

    def configure(configuration):
        store.put(
            standin_store.OPERATOR_TOPIC,
            'config',
            json.dumps(configuration).encode(),
        )

    def start(command):
        configure(command['configuration'])
        add(command)
        return {'store': store.address}

    def add(command):
        for item in command['engines']:
            if 'address' in item:
                outside.append(item)
                register_outside(item)
                continue
            made = standin_engine.Engine(
                loop,
                store,
                item['name'],
                item['service'],
                item.get('zone', 'here-a'),
                item.get('events', 0),
                item.get('slots', 8),
            )
            made.work_s = item.get('work_s', 0.0)
            made.event_pause_s = item.get('event_pause_s', 0.0)
            made.register()
            engines[made.name] = made
        return {}

    def crash(command):
        """Crash engines at work; they are back after *for_s*."""
        standin_engine.RESTART_AFTER_S = command['for_s']
        busiest = sorted(
            engines.values(),
            key=lambda item: -item.running - item.open_streams,
        )
        chosen = busiest[: command['count']]
        running = [item.running + item.open_streams for item in chosen]
        for item in chosen:
            item.running = 0
            item.crash()
        return {'crashed': [item.name for item in chosen], 'running': running}

    def run(command):
        if command['do'] == 'start':
            return start(command)
        if command['do'] == 'crash':
            return crash(command)
        if command['do'] == 'add':
            return add(command)
        if command['do'] == 'configure':
            configure(command['configuration'])
            return {}
        return {
            'runs': [
                [run.attempt_id, name]
                for name, item in engines.items()
                for run in item.runs
            ]
        }

    def check():
        while commands:
            answer = run(json.loads(commands.pop(0)))
            sys.stdout.write(json.dumps(answer) + '\n')
            sys.stdout.flush()
        loop.call_after(COMMAND_PERIOD_S, check)

    def register_outside(item):
        """Write the entry of an engine that a script runs itself."""
        item['sequence'] = item.get('sequence', 0) + 1
        entry = {
            'service': item['service'],
            'address': item['address'],
            'zone': item.get('zone', 'here-a'),
            'version': 'v1',
            'slots': item.get('slots', 8),
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': item['sequence'],
            'born': 1,
        }
        store.put(
            standin_store.ENDPOINTS_TOPIC,
            item['name'],
            json.dumps(entry).encode(),
        )

    def renew():
        # Engines that live renew their entries.
        for item in engines.values():
            if not item.is_down:
                item.register()
        for item in outside:
            register_outside(item)
        loop.call_after(1.2, renew)

    check()
    renew()
    with logbook.NullHandler().applicationbound():
        loop.run()


main()
