"""The steps of the demonstration, each with real requests to the fleet."""

import json
import pathlib
import time
import typing
import uuid

import urllib3

from guavachute.demo import fleet
from guavachute.services import replies

READY_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05
ORDER_ATTEMPTS = 5
PROMPT = 'Draft a stitch plan for a club crest, 60 mm wide, two colours'

Show = typing.Callable[[str], None]


class Tour:
    """Sends requests to the fleet as a caller does.

    :param show: receives each line of text to show
    """

    def __init__(self, running: fleet.Fleet, show: Show) -> None:
        self._fleet = running
        self._show = show
        self._http = urllib3.PoolManager(retries=False, timeout=30.0)

    def wait_until_ready(self) -> None:
        """Wait until every router has the document in force.

        :raises TimeoutError: after :data:`READY_LIMIT_S`
        """
        end_s = time.monotonic() + READY_LIMIT_S
        for number, _ in enumerate(self._fleet.routers):
            while not self._serves(number):
                if time.monotonic() > end_s:
                    raise TimeoutError(f'router {number} is not ready')
                time.sleep(POLL_INTERVAL_S)

    def show_addresses(self) -> None:
        """Request and show the addresses that a caller uses."""
        response = self._request('GET', f'/v1/addresses?model={fleet.MODEL}')
        found = response.json()
        self._show(f'addresses, to be used for {found["ttl_s"]} s:')
        for one in found['addresses']:
            self._show(f'  {one["address"]}  {one["failure_domain"]}')

    def stream_completion(self) -> str:
        """Stream and show a completion; return the request's id."""
        response = self._request(
            'POST',
            '/v1/completions',
            {
                'model': fleet.MODEL,
                'prompt': PROMPT,
                'max_tokens': 12,
                'stream': True,
            },
            preload_content=False,
        )
        self._show(f'prompt: {PROMPT}')
        text = ''
        outcome = 'none'
        for line in response.data.decode().splitlines():
            if line.startswith(': outcome '):
                outcome = line.removeprefix(': outcome ')
            elif line.startswith('data: {'):
                chunk = json.loads(line.removeprefix('data: '))
                text += chunk['choices'][0]['text']
        self._show(f'answer:{text}')
        self._show(f'outcome: {outcome}')
        return response.headers[replies.REQUEST_ID_HEADER]

    def order_twice(self) -> None:
        """Send an order through one router and repeat it through another.

        Shows both answers and how often the order service ran the order.
        """
        key = str(uuid.uuid4())
        for number in range(2):
            response = self._order(key, number)
            outcome = response.headers[replies.OUTCOME_HEADER]
            body = response.data.decode().strip()
            self._show(
                f'order through router {number}: HTTP {response.status}, '
                f'{outcome}, {body}'
            )
        runs = [run for run in self._fleet.orders.ledger() if run.key == key]
        self._show(f'the order service ran it {len(runs)} time(s)')

    def _order(self, key: str, router: int) -> urllib3.BaseHTTPResponse:
        """Send the order; retry while the answer has a ``Retry-After``."""
        for _ in range(ORDER_ATTEMPTS):
            response = self._request(
                'POST',
                f'/v1/services/{fleet.SERVICE}/jobs',
                {'artwork': 'crest.svg'},
                router=router,
                headers={'Idempotency-Key': key},
            )
            retry_after_s = response.headers.get('Retry-After')
            if retry_after_s is None:
                break
            time.sleep(float(retry_after_s))
        return response

    def curl_line(self) -> str:
        """Return a command line for the user to try."""
        address = self._fleet.routers[0].address
        body = json.dumps(
            {
                'model': fleet.MODEL,
                'prompt': 'hello',
                'max_tokens': 8,
                'stream': True,
            }
        )
        return (
            f'curl -N http://{address}/v1/completions '
            f"-H 'Authorization: Bearer {self._fleet.key}' -d '{body}'"
        )

    def _serves(self, number: int) -> bool:
        response = self._request(
            'GET', f'/v1/addresses?model={fleet.MODEL}', router=number
        )
        if response.status != 200:
            return False
        addresses = response.json()['addresses']
        return len(addresses) == len(self._fleet.routers)

    def _request(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        router: int = 0,
        headers: dict[str, str] | None = None,
        preload_content: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        address = self._fleet.routers[router].address
        return self._http.request(
            method,
            f'http://{address}{path}',
            body=None if body is None else json.dumps(body),
            headers={
                'Authorization': f'Bearer {self._fleet.key}',
                **(headers or {}),
            },
            preload_content=preload_content,
        )


def trace_lines(path: pathlib.Path, request_id: str) -> list[str]:
    """Return a line for each span of a request, ordered by start time."""
    spans = [json.loads(line) for line in path.read_text().splitlines()]
    traces = {
        span['context']['trace_id']
        for span in spans
        if span['attributes'].get('guavachute.request') == request_id
    }
    matching = [
        span for span in spans if span['context']['trace_id'] in traces
    ]
    matching.sort(key=lambda span: span['start_time'])
    return [
        f'{span["name"]:10} {span["start_time"]} to {span["end_time"]} '
        + ' '.join(
            f'{name.removeprefix("guavachute.")}={value}'
            for name, value in span['attributes'].items()
        )
        for span in matching
    ]
