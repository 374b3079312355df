"""A client that updates a stand-in VM list in another process."""

import typing

import msgspec
import urllib3

from guavachute.observe import logs
from guavachute.standin import vm_list

TIMEOUT_S = 2.0

_log = logs.logger('remote-vm-list')


class RemoteVmList:
    """Updates the VM list at *address*; failed updates are only logged."""

    def __init__(self, address: str) -> None:
        self._url = f'http://{address}/v1/vms'
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def put(self, vm: vm_list.Vm) -> None:
        """Add *vm*, or replace the entry with the same id."""
        body = msgspec.json.encode(vm)
        self._request('PUT', f'{self._url}/{vm.vm}', body=body)

    def remove(self, vm: str) -> None:
        """Remove the entry whose id is *vm*."""
        self._request('DELETE', f'{self._url}/{vm}')

    def _request(self, method: str, url: str, **more: typing.Any) -> None:
        try:
            self._pool.request(method, url, **more)
        except urllib3.exceptions.HTTPError as error:
            _log.warning('VM list update {} {} failed: {}', method, url, error)
