"""What a node process tells the routers of its VM.

A router keeps the last tables that it got and goes on with them when
the node process dies.
"""

import typing

import msgspec

from guavachute.wire import requests


class EndpointEntry(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One endpoint that this router may use.

    :ivar leave_in_s: time left at the moment of sending, when leaving
    """

    endpoint: str
    address: str
    failure_domain: str
    region: str
    pool: str
    leaving: bool = False
    leave_in_s: float | None = None


class RouterEntry(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One router that callers may use.

    :ivar address: where callers connect, ``IP:PORT``
    """

    node: str
    address: str
    failure_domain: str
    region: str
    leaving: bool = False
    suspect: bool = False


class Tables(msgspec.Struct, frozen=True, kw_only=True, tag='tables'):
    """Everything that a router needs, whole each time.

    :ivar offset: where in the log the document was accepted; a router
        refuses tables whose offset is lower than its own
    :ivar document: the accepted document as plain values
    :ivar claims_address: of the committer that decides orders; empty
        where there is none
    """

    environment: str
    offset: int
    digest: str
    document: dict[str, typing.Any]
    endpoints: list[EndpointEntry]
    routers: list[RouterEntry]
    claims_address: str = ''


class RouterReport(
    msgspec.Struct, frozen=True, kw_only=True, tag='router-report'
):
    """What a router tells its node process each second.

    :ivar offset: the configuration in force in this router
    :ivar used_tokens: since its start, by workspace
    :ivar demand: requests that run or wait, by workspace
    """

    router: str
    address: str
    offset: int
    draining: bool
    active_requests: int
    used_tokens: dict[str, float]
    demand: dict[str, float] = {}


FromNode = (
    Tables | requests.DemandSums | requests.CrashNotice | requests.GrantAnswer
)
