"""Converts messages about crashing requests for the gossip between nodes.

Routers send the messages of :mod:`guavachute.wire.requests`; nodes send
each other the compact form of :mod:`guavachute.wire.gossip`.
"""

from guavachute.wire import gossip
from guavachute.wire import requests


def encode_crash(notice: requests.CrashNotice, pass_on: bool) -> gossip.Crash:
    """*notice* as a message for peers.

    :param pass_on: whether the receiver sends it to all nodes of its domain
    """
    return gossip.Crash(
        notice.fingerprint,
        notice.crashes,
        notice.cleared,
        notice.refused,
        pass_on,
    )


def encode_grant(message: requests.Grant) -> gossip.Grant:
    """*message* as a message for a peer."""
    fingerprint, router = message.fingerprint, message.router
    match message:
        case requests.GrantRequest():
            return gossip.Grant('ask', fingerprint, router)
        case requests.GrantAnswer():
            return gossip.Grant('answer', fingerprint, router, message.granted)
        case requests.GrantRelease():
            return gossip.Grant('release', fingerprint, router)


def decode_grant(message: gossip.Grant) -> requests.Grant:
    """A peer's message about a grant, in the form for routers."""
    fingerprint, router = message.fingerprint, message.router
    match message.kind:
        case 'ask':
            return requests.GrantRequest(
                fingerprint=fingerprint, router=router
            )
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
    """A peer's crash notice, in the form for routers."""
    return requests.CrashNotice(
        fingerprint=message.fingerprint,
        crashes=message.crashes,
        cleared=message.cleared,
        refused=message.refused,
    )
