"""Messages between a node process and the routers of its VM.

If the node process dies, a router continues with the last tables that it
received.
"""

import typing

import msgspec

from guavachute.wire import requests


class EndpointEntry(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One endpoint that this router may use.

    :ivar leaving: whether its VM is about to be reclaimed or drained
    :ivar leave_in_s: time until it leaves, measured when the message was
        sent; None if that is not known
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
    :ivar leaving: it accepts no new callers
    :ivar suspect: whether its node is suspected to be dead
    """

    node: str
    address: str
    failure_domain: str
    region: str
    leaving: bool = False
    suspect: bool = False


class Tables(msgspec.Struct, frozen=True, kw_only=True, tag='tables'):
    """The complete state that a router needs; each message replaces it.

    :ivar offset: offset of the document in the log; a router refuses
        tables whose offset is lower than its own
    :ivar document: the accepted document as plain values
    :ivar claims_address: address of the committer that decides orders;
        empty if there is none
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
    """The report that a router sends its node process each second.

    :ivar offset: offset of the configuration in force in this router
    :ivar used_tokens: total since its start, by workspace
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
