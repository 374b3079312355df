"""Keeping a stand-in VM list that runs in another process."""

import typing

import msgspec
import urllib3

from guavachute.observe import logs
from guavachute.standin import vm_list

TIMEOUT_S = 2.0

_log = logs.logger('remote-vm-list')


class RemoteVmList:
    """Changes the list at *address*; a change that fails is logged."""

    def __init__(self, address: str) -> None:
        self._url = f'http://{address}/v1/vms'
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def put(self, vm: vm_list.Vm) -> None:
        """List *vm*, in place of the one with its id."""
        body = msgspec.json.encode(vm)
        self._request('PUT', f'{self._url}/{vm.vm}', body=body)

    def remove(self, vm: str) -> None:
        """List *vm* no more."""
        self._request('DELETE', f'{self._url}/{vm}')

    def _request(self, method: str, url: str, **more: typing.Any) -> None:
        try:
            self._pool.request(method, url, **more)
        except urllib3.exceptions.HTTPError as error:
            _log.warning('{} {}: {}', method, url, error)
