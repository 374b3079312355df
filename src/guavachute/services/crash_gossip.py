"""News of crashing requests between routers and between nodes.

Routers speak the messages of :mod:`guavachute.wire.requests`; between
nodes they travel in the compact form of :mod:`guavachute.wire.gossip`.
"""

from guavachute.wire import gossip
from guavachute.wire import requests


def encode_crash(notice: requests.CrashNotice, pass_on: bool) -> gossip.Crash:
    """*notice* for the peers; *pass_on* to all of their domain."""
    return gossip.Crash(
        notice.fingerprint,
        notice.crashes,
        notice.cleared,
        notice.refused,
        pass_on,
    )


def encode_grant(message: requests.Grant) -> gossip.Grant:
    """*message* for a peer."""
    fingerprint, router = message.fingerprint, message.router
    match message:
        case requests.GrantAsk():
            return gossip.Grant('ask', fingerprint, router)
        case requests.GrantAnswer():
            return gossip.Grant('answer', fingerprint, router, message.granted)
        case requests.GrantRelease():
            return gossip.Grant('release', fingerprint, router)


def decode_grant(message: gossip.Grant) -> requests.Grant:
    """What a peer has sent."""
    fingerprint, router = message.fingerprint, message.router
    match message.kind:
        case 'ask':
            return requests.GrantAsk(fingerprint=fingerprint, router=router)
        case 'answer':
            return requests.GrantAnswer(
                fingerprint=fingerprint,
                router=router,
                granted=message.granted,
            )
        case 'release':
            return requests.GrantRelease(
                fingerprint=fingerprint, router=router
            )


def decode_crash(message: gossip.Crash) -> requests.CrashNotice:
    """What a peer has sent, for the routers."""
    return requests.CrashNotice(
        fingerprint=message.fingerprint,
        crashes=message.crashes,
        cleared=message.cleared,
        refused=message.refused,
    )
