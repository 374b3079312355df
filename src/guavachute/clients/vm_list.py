"""Client of the platform's VM list."""

import enum
import typing

import msgspec
import urllib3

from guavachute.http import bounded_answers
from guavachute import outcome

TIMEOUT_S = 2.0


class VmKind(enum.Enum):
    """The role of a VM."""

    ENDPOINT = 'endpoint'
    ENTRY = 'entry'


class VmState(enum.Enum):
    """The state of a VM, according to the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One VM of the list.

    ``gc=False`` keeps the thousands of entries out of the garbage
    collector's scans; an entry refers to no object that could form a
    cycle.

    :ivar leave_in_s: seconds from the answer until the VM leaves; None
        while it is live
    """

    vm: str
    address: str
    failure_domain: str
    region: str
    pool: str
    kind: VmKind
    machine_class: str = ''
    market: typing.Literal['reclaimable', 'on-demand'] = 'reclaimable'
    state: VmState = VmState.LIVE
    leave_in_s: float | None = None


class VmList(msgspec.Struct, frozen=True):
    """The answer to ``GET /v1/vms``."""

    vms: tuple[Vm, ...]


class VmListClient:
    """Reads the list, with one request at a time.

    If the answer equals the previous one, the same objects are returned
    again without decoding: the list is long, is read often and rarely
    changes.

    :param address: ``IP:PORT`` of the platform's service
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._http = bounded_answers.Pool(
            host, int(port), timeout=TIMEOUT_S, retries=False
        )
        self._last_body = b''
        self._last: VmList | None = None

    def read(self) -> VmList | outcome.Failure:
        """Read the platform's current list, which may be out of date."""
        try:
            response = self._http.request('GET', '/v1/vms')
        except urllib3.exceptions.HTTPError as error:
            return outcome.Failure(outcome.Reason.UNAVAILABLE, str(error))
        if response.status != 200:
            return outcome.Failure(
                outcome.Reason.UNAVAILABLE, f'HTTP status {response.status}'
            )
        if self._last is not None and response.data == self._last_body:
            return self._last
        try:
            self._last = msgspec.json.decode(response.data, type=VmList)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            return outcome.Failure(outcome.Reason.UNREADABLE, str(error))
        self._last_body = response.data
        return self._last
