"""Messages between routers about requests, which their nodes pass on."""

import msgspec


class DemandSum(msgspec.Struct, frozen=True, kw_only=True, tag='demand-sum'):
    """The demand at one router or a group of them, reported each second.

    :ivar source: the router or group; a newer sum replaces the older one
        of the same source
    :ivar routers: how many routers the sum stands for
    :ivar demand: requests that run or wait, by workspace
    :ivar served_tokens: total since the start of the source, by workspace
    """

    source: str
    routers: int = 1
    demand: dict[str, float]
    served_tokens: dict[str, float] = {}


class DemandSums(msgspec.Struct, frozen=True, kw_only=True, tag='demand-sums'):
    """All sums that a node process knows, sent to the routers of its VM.

    They include the receiver's own sum.
    """

    sums: list[DemandSum]


class CrashNotice(
    msgspec.Struct, frozen=True, kw_only=True, tag='crash-notice'
):
    """A router's state about one request fingerprint.

    :ivar crashes: ids of the crashes during which such a request ran. All
        routers that saw a crash use the same id, such as the endpoint and
        its boot id
    :ivar cleared: those of *crashes* after which such a request completed
    :ivar refused: whether such requests are refused; only an operator or
        the passage of time reverts this
    """

    fingerprint: str
    crashes: list[str]
    cleared: list[str] = []
    refused: bool = False


class GrantRequest(msgspec.Struct, frozen=True, kw_only=True, tag='grant-ask'):
    """Requests a grant for an attempt from the owner of a fingerprint."""

    fingerprint: str
    router: str


class GrantAnswer(
    msgspec.Struct, frozen=True, kw_only=True, tag='grant-answer'
):
    """The owner's answer to a :class:`GrantRequest`.

    :ivar router: the router that requested the grant
    :ivar granted: whether the attempt may start
    """

    fingerprint: str
    router: str
    granted: bool


class GrantRelease(
    msgspec.Struct, frozen=True, kw_only=True, tag='grant-release'
):
    """Releases the grant of an attempt that has ended.

    The router sends the notice of the attempt's result before it.
    """

    fingerprint: str
    router: str


Grant = GrantRequest | GrantAnswer | GrantRelease
