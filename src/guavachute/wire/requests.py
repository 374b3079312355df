"""What routers tell each other about requests, by way of their nodes."""

import msgspec


class DemandSum(msgspec.Struct, frozen=True, kw_only=True, tag='demand-sum'):
    """What one router, or several together, report each second.

    :ivar source: a router or a group of them; a newer sum replaces the
        older one of the same source
    :ivar routers: how many routers it stands for
    :ivar demand: by workspace, requests that run or wait
    :ivar served_tokens: by workspace, since the start of the source
    """

    source: str
    routers: int = 1
    demand: dict[str, float]
    served_tokens: dict[str, float] = {}


class DemandSums(msgspec.Struct, frozen=True, kw_only=True, tag='demand-sums'):
    """All the sums that a node process knows, for the routers of its VM.

    One of them is the receiver's own.
    """

    sums: list[DemandSum]


class CrashNotice(
    msgspec.Struct, frozen=True, kw_only=True, tag='crash-notice'
):
    """All that a router knows of one fingerprint.

    :ivar crashes: ids of crashes it was part of, equal in all routers
        that saw the same crash, such as endpoint and boot id
    :ivar cleared: those of them after which it was completed
    :ivar refused: sticky; nothing but time or an operator undoes it
    """

    fingerprint: str
    crashes: list[str]
    cleared: list[str] = []
    refused: bool = False


class GrantAsk(msgspec.Struct, frozen=True, kw_only=True, tag='grant-ask'):
    """A router asks the owner of a fingerprint for an attempt."""

    fingerprint: str
    router: str


class GrantAnswer(
    msgspec.Struct, frozen=True, kw_only=True, tag='grant-answer'
):
    """The owner's answer; without it the attempt is not made."""

    fingerprint: str
    router: str
    granted: bool


class GrantRelease(
    msgspec.Struct, frozen=True, kw_only=True, tag='grant-release'
):
    """The attempt has ended; a notice of what came of it went before."""

    fingerprint: str
    router: str


Grant = GrantAsk | GrantAnswer | GrantRelease
