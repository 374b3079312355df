"""Cost of the membership protocol and the speed of its failure detection.

Runs the protocol state of all members of one failure domain over a
network without delay, in simulated time. Bytes are those of the encoded
messages; CPU time is that of the protocol and the encoding, without
sockets.
"""

import argparse
import random
import statistics
import time

import msgspec

from guavachute.decide.members import member_table
from guavachute.decide.members import membership
from guavachute.decide.members import protocol_state
from guavachute.wire import codec
from guavachute.wire import gossip

DOMAIN = 'perth-a'
TICK_S = 0.1
SETTLE_S = 60.0
MEASURED_S = 60.0
TRIALS = 20
LIMIT_S = 120.0
WORKSPACES = 5


class Result(msgspec.Struct, frozen=True):
    """Figures of one size; durations are in simulated seconds.

    :ivar sent_bytes_per_s: by one member
    :ivar sent_messages_per_s: by one member
    :ivar processor_share: CPU time of a member as a part of one core
    """

    members: int
    sent_bytes_per_s: float
    sent_messages_per_s: float
    processor_share: float
    dead_suspected_median_s: float
    dead_gone_median_s: float
    dead_gone_p95_s: float
    leaving_seen_median_s: float
    leaving_seen_p95_s: float


class Domain:
    """The simulation of all members of one failure domain.

    :ivar states: the protocol state of each running member, by node
    """

    def __init__(self, members: int) -> None:
        self.now_s = 0.0
        self.sent_bytes = 0
        self.sent_messages = 0
        names = [f'vm-{number}' for number in range(members)]
        listed = [
            member_table.ListedVm(name, f'{name}:1', DOMAIN, 'perth')
            for name in names
        ]
        self.states = {}
        for number, name in enumerate(names):
            state = membership.Membership(
                name,
                1_700_000_000_000,
                gossip.Profile(
                    '127.0.0.1:10000', DOMAIN, 'perth', ('127.0.0.1:20000',)
                ),
                random.Random(number),
            )
            state.observe_list(listed, 0.0)
            self.states[name] = state

    def step(self) -> None:
        """Simulate one tick of all members."""
        self.now_s += TICK_S
        for name, state in list(self.states.items()):
            used = {
                f'workspace-{number}': int(self.now_s * 1000)
                for number in range(WORKSPACES)
            }
            state.state.set_status(
                gossip.Status(name, 0, 0, 17, 'abcdef012345', 30, used)
            )
            self.deliver(name, state.tick(self.now_s))

    def deliver(self, sender: str, sends: list[protocol_state.Send]) -> None:
        """Deliver *sends* and all messages sent in response."""
        queue = [(sender, send) for send in sends]
        while queue:
            source, send = queue.pop()
            self.sent_messages += 1
            self.sent_bytes += len(codec.encode(send.message))
            target = self.states.get(send.to.node)
            if target is not None:
                answers = target.receive(
                    gossip.NodeAddress(source, ''), send.message, self.now_s
                )
                queue += [(send.to.node, answer) for answer in answers]

    def run(self, duration_s: float) -> None:
        """Simulate *duration_s* seconds."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.step()

    def measure_detection_s(self, node: str, status: str) -> list[float]:
        """Simulate until all members see the status *status* of *node*.

        Returns the simulated seconds that each member took.

        :param status: ``suspected``, ``gone`` or ``leaving``; a member that
            is gone counts for all of them
        """
        start_s = self.now_s
        times: dict[str, float] = {}
        while len(times) < len(self.states) - (node in self.states):
            self.step()
            assert self.now_s - start_s < LIMIT_S, status
            for name, state in self.states.items():
                if name == node or name in times:
                    continue
                if _has_status(state.snapshot(self.now_s), node, status):
                    times[name] = self.now_s - start_s
        return list(times.values())


def _has_status(view: membership.Snapshot, node: str, status: str) -> bool:
    member = next((m for m in view.members if m.node == node), None)
    if member is None:
        return True
    if status == 'suspected':
        return member.suspect
    return status == 'leaving' and member.leaving


def measure(members: int) -> Result:
    """Measure a domain with *members* members."""
    domain = Domain(members)
    domain.run(SETTLE_S)
    domain.sent_bytes = domain.sent_messages = 0
    start_s = time.process_time()
    domain.run(MEASURED_S)
    used_s = time.process_time() - start_s
    per_member_s = members * MEASURED_S
    sent_bytes, messages = domain.sent_bytes, domain.sent_messages
    suspected: list[float] = []
    gone: list[float] = []
    leaving: list[float] = []
    for trial in range(TRIALS):
        name = f'vm-{trial % members}'
        state = domain.states[name]
        profile = state.state.profile
        state.state.set_profile(msgspec.structs.replace(profile, leaving=True))
        leaving += domain.measure_detection_s(name, 'leaving')
        state.state.set_profile(profile)
        domain.run(5)
        del domain.states[name]
        suspected_after_s = domain.measure_detection_s(name, 'suspected')
        suspected += suspected_after_s
        gone_after_s = domain.measure_detection_s(name, 'gone')
        gone += [max(suspected_after_s) + later for later in gone_after_s]
        domain.states[name] = state
        domain.run(30)
    return Result(
        members,
        round(sent_bytes / per_member_s),
        round(messages / per_member_s, 2),
        round(used_s / per_member_s, 5),
        round(statistics.median(suspected), 1),
        round(statistics.median(gone), 1),
        round(statistics.quantiles(gone, n=20)[-1], 1),
        round(statistics.median(leaving), 1),
        round(statistics.quantiles(leaving, n=20)[-1], 1),
    )


def main() -> None:
    """Print one line of JSON for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--members', type=int, nargs='+', default=[3, 9, 30])
    for members in parser.parse_args().members:
        print(msgspec.json.encode(measure(members)).decode(), flush=True)


if __name__ == '__main__':
    main()
