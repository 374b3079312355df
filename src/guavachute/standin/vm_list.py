"""A stand-in for the platform's list of VMs, which may be out of date."""

import threading
import time
import typing

import msgspec

from guavachute.http import message
from guavachute.http import server
from guavachute import outcome
from guavachute.standin import base


class Vm(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One VM as listed; docs/platform.md describes the fields."""

    vm: str
    address: str
    failure_domain: str
    region: str
    pool: str
    kind: typing.Literal['endpoint', 'entry']
    machine_class: str = ''
    market: typing.Literal['reclaimable', 'on-demand'] = 'reclaimable'
    state: typing.Literal['live', 'leaving'] = 'live'
    leave_in_s: float | None = None


class Listing(msgspec.Struct, frozen=True):
    """The response to ``GET /v1/vms`` and the body of ``PUT /v1/vms``."""

    vms: list[Vm]


class _Version(msgspec.Struct, frozen=True):
    since_s: float
    vms: dict[str, Vm]
    leave_at_s: dict[str, float]


class VmList(base.StandIn):
    """Lists the VMs that a test or a stand-in cloud sets.

    :param lag_s: age in seconds of the state that it answers with
    """

    def __init__(
        self,
        name: str = 'vm-list',
        host: str = base.HOST,
        port: int = 0,
        lag_s: float = 0,
    ) -> None:
        super().__init__(name, host, port)
        self._lag_s = lag_s
        self._lock = threading.RLock()
        self._versions = [_Version(float('-inf'), {}, {})]

    def set_vms(self, vms: typing.Iterable[Vm]) -> None:
        """Replace the list by *vms*."""
        now_s = time.monotonic()
        leave_at_s = {
            vm.vm: now_s + vm.leave_in_s
            for vm in vms
            if vm.leave_in_s is not None
        }
        self._change({vm.vm: vm for vm in vms}, leave_at_s)

    def put(self, vm: Vm) -> None:
        """Add *vm*, or replace the entry with the same id."""
        with self._lock:
            newest = self._versions[-1]
            leave_at_s = dict(newest.leave_at_s)
            leave_at_s.pop(vm.vm, None)
            if vm.leave_in_s is not None:
                leave_at_s[vm.vm] = time.monotonic() + vm.leave_in_s
            self._change({**newest.vms, vm.vm: vm}, leave_at_s)

    def leave(self, vm: str, leave_in_s: float) -> None:
        """List *vm* as leaving in *leave_in_s* seconds.

        It stays listed until it is removed.
        """
        listed = self._versions[-1].vms[vm]
        self.put(
            msgspec.structs.replace(
                listed, state='leaving', leave_in_s=leave_in_s
            )
        )

    def remove(self, vm: str) -> None:
        """Remove the entry whose id is *vm*."""
        with self._lock:
            newest = self._versions[-1]
            vms = dict(newest.vms)
            vms.pop(vm, None)
            self._change(vms, newest.leave_at_s)

    def listing(self) -> Listing:
        """Return the list as it was ``lag_s`` ago.

        The remaining time of leaving VMs counts from now.
        """
        now_s = time.monotonic()
        with self._lock:
            shown_at_s = now_s - self._lag_s
            while len(self._versions) > 1 and (
                self._versions[1].since_s <= shown_at_s
            ):
                del self._versions[0]
            version = self._versions[0]
        return Listing(
            [
                _with_remaining_time(vm, version.leave_at_s.get(vm.vm), now_s)
                for vm in version.vms.values()
            ]
        )

    def serve(
        self, request: message.Request, exchange: server.Exchange
    ) -> base.Reply:
        """List the VMs, or change the list."""
        match request.method, request.path.split('/')[1:]:
            case 'GET', ['v1', 'vms']:
                return message.json_response(self.listing())
            case 'PUT', ['v1', 'vms']:
                return self._serve_set(request.body)
            case 'PUT', ['v1', 'vms', _]:
                return self._serve_put(request.body)
            case 'DELETE', ['v1', 'vms', vm]:
                self.remove(vm)
                return message.json_response({})
        return base.not_found()

    def _serve_set(self, body: bytes) -> message.Response:
        listing = message.decode_json(body, Listing)
        if isinstance(listing, outcome.Failure):
            return base.bad_request(listing)
        self.set_vms(listing.vms)
        return message.json_response({})

    def _serve_put(self, body: bytes) -> message.Response:
        vm = message.decode_json(body, Vm)
        if isinstance(vm, outcome.Failure):
            return base.bad_request(vm)
        self.put(vm)
        return message.json_response({})

    def _change(
        self, vms: dict[str, Vm], leave_at_s: dict[str, float]
    ) -> None:
        with self._lock:
            self._versions.append(_Version(time.monotonic(), vms, leave_at_s))


def _with_remaining_time(vm: Vm, leave_at_s: float | None, now_s: float) -> Vm:
    if leave_at_s is None:
        return vm
    remaining_s = max(0.0, leave_at_s - now_s)
    return msgspec.structs.replace(vm, leave_in_s=round(remaining_s, 3))
