"""The scenarios of ``bench.requests``: loads and faults."""

import dataclasses
import typing

from bench import request_load
from bench import request_site

CAPACITY_REQUESTS_PER_S = 40.0
"""Capacity of ten engines: 80 slots, about two seconds per request."""

STEADY_SHARE = 0.6
OVERLOAD = 2.0
OVERLOADING = 'club-shops'
DURATION_S = 10.0
CALLER_TIMEOUT_S = 12.0
FAULT_S = 3.0

RECLAIMED_DOMAIN = 'perth-b'
NOTICE_S = 30.0
LONG_ANSWERS = 6
LONG_TOKENS = 900
LONG_PROMPT_WORDS = 300
LONG_LABEL = 'long'

SLOW_GAP_S = 0.4

CRASHING_LABEL = 'crashing'
CRASHING_TEXT = 'crashes-engines'
CRASH_AFTER_TOKENS = 3
RESENDS = 20
RESEND_INTERVAL_S = 0.3

SILENT_ENGINES = 3
SILENT_STREAMS = 4
SILENT_AFTER_TOKENS = 5

ALL_POLICIES = tuple(request_site.Policy)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """An action in a run, *at_s* seconds after the callers start."""

    at_s: float
    action: typing.Callable[[request_site.Site], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """A load and the faults that are injected meanwhile.

    :ivar give_up_s: timeout after which callers cancel a request
    :ivar rates: requests per second of workspaces that don't send at the
        steady rate
    :ivar singles: additional requests
    :ivar expected_bad: labels whose answers can be cut
    :ivar policies: the policies that are compared
    """

    name: str
    duration_s: float = DURATION_S
    give_up_s: float = CALLER_TIMEOUT_S
    rates: dict[str, float] = dataclasses.field(default_factory=dict)
    singles: tuple[request_load.Single, ...] = ()
    steps: tuple[Step, ...] = ()
    expected_bad: tuple[str, ...] = ()
    policies: tuple[request_site.Policy, ...] = ALL_POLICIES

    def rate(self, workspace: str) -> float:
        """Return the requests per second of *workspace*."""
        shares = request_site.SHARES
        part = shares[workspace] / sum(shares.values())
        steady = CAPACITY_REQUESTS_PER_S * STEADY_SHARE * part
        return self.rates.get(workspace, steady)


def all_scenarios() -> list[Scenario]:
    """Return all scenarios, in the order of the table."""
    return [
        Scenario(name='steady'),
        Scenario(
            name='overload',
            rates={OVERLOADING: OVERLOAD * CAPACITY_REQUESTS_PER_S},
        ),
        Scenario(name='reclaim-none', steps=(Step(FAULT_S, _kill_domain),)),
        Scenario(name='slow', steps=(Step(FAULT_S, _slow_one),)),
        Scenario(
            name='crashing',
            singles=tuple(_crashing_requests()),
            steps=(Step(0, _crash_on_text),),
            expected_bad=(CRASHING_LABEL,),
        ),
        Scenario(name='silent', steps=(Step(FAULT_S, _silence_engines),)),
        Scenario(
            name='reclaim-notice',
            duration_s=FAULT_S + NOTICE_S + 2,
            give_up_s=NOTICE_S * 2,
            singles=tuple(_long_requests()),
            steps=(
                Step(FAULT_S, _announce_reclaim),
                Step(FAULT_S + NOTICE_S, _kill_domain),
            ),
            policies=(
                request_site.Policy.LEAST_OUTSTANDING,
                request_site.Policy.OURS,
            ),
        ),
    ]


def _kill_domain(site: request_site.Site) -> None:
    site.kill_engines(site.domain_engines(RECLAIMED_DOMAIN))


def _announce_reclaim(site: request_site.Site) -> None:
    site.announce_leaving(site.domain_engines(RECLAIMED_DOMAIN), NOTICE_S)


def _slow_one(site: request_site.Site) -> None:
    site.change_settings(
        site.domain_engines(RECLAIMED_DOMAIN)[0], token_gap_s=SLOW_GAP_S
    )


def _crash_on_text(site: request_site.Site) -> None:
    site.inject_fault(
        site.engines,
        kind='crash',
        path_prefix='/v1/completions',
        count=-1,
        match=CRASHING_TEXT,
        after_tokens=CRASH_AFTER_TOKENS,
    )


def _silence_engines(site: request_site.Site) -> None:
    site.inject_fault(
        list(site.engines)[:SILENT_ENGINES],
        kind='silent',
        path_prefix='/v1/completions',
        count=SILENT_STREAMS,
        after_tokens=SILENT_AFTER_TOKENS,
    )


def _crashing_requests() -> typing.Iterator[request_load.Single]:
    for number in range(RESENDS):
        yield request_load.Single(
            label=CRASHING_LABEL,
            api_key=request_site.api_key('schools'),
            at_s=FAULT_S + number * RESEND_INTERVAL_S,
            prompt=f'{CRASHING_TEXT} ' * 20,
            tokens=20,
        )


def _long_requests() -> typing.Iterator[request_load.Single]:
    for number in range(LONG_ANSWERS):
        yield request_load.Single(
            label=LONG_LABEL,
            api_key=request_site.api_key('uniforms'),
            at_s=1.0 + number / LONG_ANSWERS,
            prompt=f'tyre-{number} ' * LONG_PROMPT_WORDS,
            tokens=LONG_TOKENS,
        )
