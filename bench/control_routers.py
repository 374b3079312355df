"""Measures how soon callers stop getting the address of an ended router."""

import concurrent.futures
import dataclasses
import socket
import time
import typing

import urllib3

from bench import control_site
from bench import processes

POLL_PAUSE_S = 0.02
UNNAMED_CONFIRMATION_S = 2.0
"""How long polling goes on after a router was last named.

A node that still has old state can name it again.
"""

TIMEOUT_S = 40.0
HINTS = 50
CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A router that is stopped by a signal, as callers see it.

    :ivar last_named_s: from the signal until no other router named it
    :ivar last_accepted_s: from the signal until it accepted no connection
    """

    last_named_s: float
    last_accepted_s: float


class Callers:
    """Queries the routers of a site for addresses, as callers do."""

    def __init__(self, site: control_site.Site) -> None:
        self._site = site
        self._http = urllib3.PoolManager(
            num_pools=len(site.routers), retries=False
        )

    def wait_ready(self) -> None:
        """Wait until each router is named by all others."""
        deadline_s = time.monotonic() + control_site.READY_TIMEOUT_S
        for name in self._site.routers:
            while self._find_hint(name) is None:
                assert time.monotonic() < deadline_s, f'{name} is not named'
                time.sleep(POLL_PAUSE_S)

    def kill_router(self, name: str) -> float:
        """Kill the router of VM *name*.

        Returns the seconds until no other router names it.
        """
        return self._measure_last_named_s(name, self._site.routers[name].kill)

    def kill_vm(self, name: str) -> float:
        """Kill the node process and the router of VM *name*.

        Returns the seconds until no other router names its router.
        """

        def kill() -> None:
            self._site.nodes[name].kill()
            self._site.routers[name].kill()

        return self._measure_last_named_s(name, kill)

    def stop_router(self, name: str) -> Departure:
        """Stop the router of VM *name* by SIGTERM and wait for its end."""
        router = self._site.routers[name]
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            start_s = time.monotonic()
            served = executor.submit(
                _measure_refused_s, router.address, start_s
            )
            named_s = self._measure_last_named_s(
                name, router.process.terminate
            )
            departure = Departure(named_s, served.result())
        router.process.wait(processes.STOP_TIMEOUT_S)
        return departure

    def _measure_last_named_s(
        self, name: str, end: typing.Callable[[], None]
    ) -> float:
        hint = self._find_hint(name)
        assert hint is not None, f'{name} is not named at the start'
        address = self._site.routers[name].address
        others = self._others(name)
        start_s = named_s = time.monotonic()
        end()
        while time.monotonic() < named_s + UNNAMED_CONFIRMATION_S:
            for other in others:
                if address in self._fetch_addresses(other, hint):
                    named_s = time.monotonic()
            assert named_s < start_s + TIMEOUT_S, (
                f'{name} is still named after its end'
            )
            time.sleep(POLL_PAUSE_S)
        return named_s - start_s

    def _find_hint(self, name: str) -> str | None:
        """Return a hint for which all other routers name that of *name*.

        An answer holds only a subset of the addresses, which depends on
        the affinity hint. None if no hint is found.
        """
        address = self._site.routers[name].address
        others = self._others(name)
        for number in range(HINTS):
            hint = f'hint-{number}'
            if all(
                address in self._fetch_addresses(one, hint) for one in others
            ):
                return hint
        return None

    def _others(self, name: str) -> list[str]:
        return [
            router.address
            for other, router in self._site.routers.items()
            if other != name and router.process.poll() is None
        ]

    def _fetch_addresses(self, router: str, hint: str) -> set[str]:
        answer = self._http.request(
            'GET',
            f'http://{router}/v1/addresses?affinity={hint}',
            headers={'Authorization': f'Bearer {control_site.API_KEY}'},
            timeout=REQUEST_TIMEOUT_S,
        )
        if answer.status != 200:
            return set()
        return {one['address'] for one in answer.json()['addresses']}


def _measure_refused_s(address: str, start_s: float) -> float:
    """Wait until *address* refuses connections; seconds since *start_s*."""
    host, _, port = address.rpartition(':')
    target = (host, int(port))
    while _accepts_connections(target):
        assert time.monotonic() < start_s + TIMEOUT_S, (
            f'{address} still accepts connections'
        )
        time.sleep(POLL_PAUSE_S)
    return time.monotonic() - start_s


def _accepts_connections(target: tuple[str, int]) -> bool:
    try:
        socket.create_connection(target, CONNECT_TIMEOUT_S).close()
    except ConnectionError:
        return False
    except TimeoutError:
        # The router runs, but is busy or its accept queue is full.
        return True
    return True
