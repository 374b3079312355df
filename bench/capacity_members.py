"""Runs several members of one failure domain in one process.

As a program it reads a :class:`Plan` as one line of JSON from standard
input, prints the members' addresses by name as JSON, and takes part in
the membership protocol until SIGTERM.
"""

import dataclasses
import json
import sys
import threading

import msgspec

from guavachute.cli import process
from guavachute.kernel import kernel
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute.services import membership
from guavachute.wire import gossip

REPORT_S = 1.0
WORKSPACES = ('club', 'mill', 'shop', 'studio', 'yard')
STREAMS = 300
TOKENS_PER_S = 5_909


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The members that the process runs.

    :ivar configuration: settings that all members have in common
    :ivar key: the key that the site's nodes share
    :ivar seed: address of a member that is known already
    :ivar names: node names of the members
    """

    configuration: dict[str, str]
    key: str
    seed: str
    names: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Members:
    hosting: kernel.Kernel
    addresses: dict[str, str]


def _build(plan: Plan) -> _Members:
    members = _Members(kernel.Kernel(), {})
    for name in plan.names:
        member = membership.Membership(
            membership.Configuration(
                **plan.configuration,
                node=name,
                host='127.0.0.1',
                port=0,
                keys=(plan.key.encode(),),
                seeds=(plan.seed,),
            ),
            counters.Counters(),
            name,
        )
        members.hosting.add(member)
        members.addresses[name] = member.address
    return members


def status(node: str, second: int) -> gossip.Status:
    """Return the status of a node under full load after *second* seconds."""
    tokens = TOKENS_PER_S * second // len(WORKSPACES)
    return gossip.Status(
        node=node,
        incarnation=0,
        sequence=0,
        offset=0,
        digest='0123456789ab',
        active_requests=STREAMS,
        used_tokens=dict.fromkeys(WORKSPACES, tokens),
        demand=dict.fromkeys(WORKSPACES, STREAMS // len(WORKSPACES)),
    )


def _report(members: _Members, second: int) -> None:
    for name in members.addresses:
        message = membership.SetStatus(status(name, second))
        members.hosting.send(name, message)


def main() -> None:
    """Run the members until SIGTERM; each reports once a second."""
    plan = msgspec.json.decode(sys.stdin.readline(), type=Plan)
    members = _build(plan)
    with logs.to_stderr('error'), members.hosting.running():
        stopping = threading.Event()
        with process.stopped_by_signals(stopping.set):
            print(json.dumps(members.addresses), flush=True)
            second = 0
            while not stopping.wait(REPORT_S):
                second += 1
                _report(members, second)


if __name__ == '__main__':
    main()
