"""Client of the cloud API, and a JSON client that engines' orders use.

The reason of a failed order matters: only after ``NO_CAPACITY``,
``OVERLOADED`` or ``UNAVAILABLE`` is it certain that no VM was started.
After ``LOST_ANSWER`` a VM may exist, now or later.
"""

import http
import typing
import urllib.parse

import msgspec
import urllib3

from guavachute.decide.fleet import market
from guavachute.decide.fleet import purchases
from guavachute.http import bounded_answers
from guavachute import ids
from guavachute import outcome

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 10.0
CONNECTIONS = 8

_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class OfferEntry(msgspec.Struct, frozen=True):
    """An offer as the cloud lists it."""

    failure_domain: str
    region: str
    machine_class: str
    market: market.Market
    price_cents_per_hour: float


class VmEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A VM as the cloud lists it."""

    vm: str
    name: str
    pool: str
    failure_domain: str
    machine_class: str
    market: market.Market
    region: str = ''
    address: str | None = None
    state: typing.Literal['starting', 'live', 'leaving'] = 'live'


class Notice(msgspec.Struct, frozen=True):
    """The announcement that a VM is reclaimed in *leave_in_s* seconds."""

    vm: str
    leave_in_s: float


class Notices(msgspec.Struct, frozen=True):
    """A page of reclaim notices; the next page starts at number *next*."""

    next: int
    notices: list[Notice]


class _Offers(msgspec.Struct, frozen=True):
    offers: list[OfferEntry]


class _Vms(msgspec.Struct, frozen=True):
    vms: list[VmEntry]


class _Order(msgspec.Struct, frozen=True):
    name: str
    pool: str
    failure_domain: str
    machine_class: str
    market: market.Market


class _Answer(typing.NamedTuple):
    status: int
    body: bytes
    retry_after_s: float | None


Body = typing.TypeVar('Body')


class JsonClient:
    """Sends JSON requests, each once, and decodes the answers.

    :param address: ``IP:PORT`` of the service
    :param read_timeout_s: how long the service may take to answer
    """

    def __init__(
        self, address: str, read_timeout_s: float = READ_TIMEOUT_S
    ) -> None:
        host, _, port = address.rpartition(':')
        self._http = bounded_answers.Pool(
            host,
            int(port),
            maxsize=CONNECTIONS,
            timeout=urllib3.Timeout(CONNECT_TIMEOUT_S, read_timeout_s),
            retries=False,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    def send(
        self,
        method: str,
        path: str,
        expected: type[Body],
        body: msgspec.Struct | None = None,
    ) -> Body | outcome.Failure:
        """Send one request and return its decoded answer.

        :returns: on failure the reason ``LOST_ANSWER`` means that the
            request may have taken effect; any other means that it didn't
        """
        answer = self._request(method, path, body)
        if isinstance(answer, outcome.Failure):
            return answer
        failure = _failure_of(answer)
        if failure is not None:
            return failure
        try:
            return msgspec.json.decode(answer.body or b'null', type=expected)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            # The request took effect, but its result is unknown.
            reason = outcome.Reason.LOST_ANSWER
            return outcome.Failure(
                reason, f'the answer is unreadable: {error}'
            )

    def _request(
        self, method: str, path: str, body: msgspec.Struct | None
    ) -> _Answer | outcome.Failure:
        encoded = None if body is None else msgspec.json.encode(body)
        try:
            response = self._http.request(
                method,
                path,
                body=encoded,
                headers={'Content-Type': 'application/json'},
            )
        except _NOT_SENT as error:
            return outcome.Failure(outcome.Reason.UNAVAILABLE, str(error))
        except urllib3.exceptions.HTTPError as error:
            return outcome.Failure(outcome.Reason.LOST_ANSWER, str(error))
        return _Answer(
            response.status,
            response.data,
            _retry_after_s(response.headers.get('Retry-After')),
        )


class CloudClient:
    """Lists offers and VMs, and orders VMs.

    :param address: ``IP:PORT`` of the cloud API
    :param read_timeout_s: how long the cloud may take to answer
    """

    def __init__(
        self, address: str, read_timeout_s: float = READ_TIMEOUT_S
    ) -> None:
        self._json = JsonClient(address, read_timeout_s)

    def close(self) -> None:
        """Close the idle connections."""
        self._json.close()

    def offers(self) -> list[OfferEntry] | outcome.Failure:
        """Return the offers with their prices."""
        found = self._json.send('GET', '/v1/offers', _Offers)
        return found if isinstance(found, outcome.Failure) else found.offers

    def vms(
        self, name: str | None = None
    ) -> list[purchases.ListedVm] | outcome.Failure:
        """Return all VMs, or those with the name *name*."""
        path = '/v1/vms'
        if name is not None:
            path += '?' + urllib.parse.urlencode({'name': name})
        found = self._json.send('GET', path, _Vms)
        if isinstance(found, outcome.Failure):
            return found
        return [_listed(entry) for entry in found.vms]

    def start(
        self, name: str, pool: ids.PoolName, offer: market.OfferKey
    ) -> purchases.ListedVm | outcome.Failure:
        """Order one VM.

        Names aren't unique at the cloud: the caller has to list *name*
        before, or the order may start a second VM of that name.
        """
        order = _Order(
            name,
            pool,
            offer.failure_domain,
            offer.machine_class,
            offer.market,
        )
        found = self._json.send('POST', '/v1/vms', VmEntry, order)
        return found if isinstance(found, outcome.Failure) else _listed(found)

    def end(self, vm: ids.VmId) -> outcome.Failure | None:
        """End one VM; a VM that no longer exists counts as success."""
        found = self._json.send('DELETE', f'/v1/vms/{vm}', typing.Any)
        if not isinstance(found, outcome.Failure):
            return None
        return None if found.reason is outcome.Reason.NOT_FOUND else found

    def notices(self, from_number: int) -> Notices | outcome.Failure:
        """Return the reclaim notices from *from_number* on."""
        path = f'/v1/notices?from={from_number}'
        return self._json.send('GET', path, Notices)


def _listed(entry: VmEntry) -> purchases.ListedVm:
    return purchases.ListedVm(
        ids.VmId(entry.vm),
        entry.name,
        ids.PoolName(entry.pool),
        market.OfferKey(
            ids.FailureDomain(entry.failure_domain),
            entry.machine_class,
            entry.market,
        ),
        entry.region,
        entry.address or '',
        entry.state == 'leaving',
    )


def _failure_of(answer: _Answer) -> outcome.Failure | None:
    """Return the failure that an answer's status means, None for success."""
    status = answer.status
    if http.HTTPStatus.OK <= status < http.HTTPStatus.MULTIPLE_CHOICES:
        return None
    reasons: dict[int, outcome.Reason] = {
        http.HTTPStatus.NOT_FOUND: outcome.Reason.NOT_FOUND,
        http.HTTPStatus.CONFLICT: outcome.Reason.CONFLICT,
        http.HTTPStatus.TOO_MANY_REQUESTS: outcome.Reason.OVERLOADED,
        http.HTTPStatus.SERVICE_UNAVAILABLE: outcome.Reason.UNAVAILABLE,
    }
    default = outcome.Reason.BAD_REQUEST
    if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        # The service may have acted before the error occurred.
        default = outcome.Reason.LOST_ANSWER
    reason = reasons.get(status, default)
    if b'no_capacity' in answer.body:
        reason = outcome.Reason.NO_CAPACITY
    detail = f'HTTP status {answer.status}: {answer.body[:100]!r}'
    return outcome.Failure(reason, detail, answer.retry_after_s)


def _retry_after_s(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
