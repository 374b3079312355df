"""Compares the router's decisions with simple baselines on fixed traces.

Prints tables of the placement of prompts, of shares under overload, and
of the CPU time of a decision.
"""

from bench import decision_time
from bench import placement
from bench import share_trace

SEED = 1
DECISION_LIMIT_US = 100.0
DOMAIN_ROUTERS = 82
DOMAIN_ENGINES = 350


def print_placement() -> None:
    """Print cache hits, recomputed tokens and the balance of load."""
    print(f'placement, {placement.REQUESTS} requests, seed {SEED}')
    print(
        f'{"engines":>8}  {"policy":18}{"hits":>8}{"recomputed":>12}', end=''
    )
    print(f'{"max/mean load p95":>20}')
    for engines in (10, 40):
        for name, policy in placement.POLICIES.items():
            result = placement.run(policy, engines, SEED)
            print(
                f'{engines:8}  {name:18}{result.hit_share:8.3f}'
                f'{result.recomputed_tokens:12}{result.imbalance:20.2f}'
            )


def print_shares() -> None:
    """Print the shares while one workspace sends twice the capacity."""
    print('shares reached over shares due, one workspace sends 2x the pool')
    names = list(share_trace.SHARES)
    heads = ''.join(f'{name:>8}' for name in names)
    print(f'{"policy":10}{heads}{"refused":>9}{"wait p95":>10}{"used":>7}')
    queues: dict[str, share_trace.Queue] = {
        'fifo': share_trace.FifoQueue(),
        'ours': share_trace.RouterQueue(),
    }
    for policy, queue in queues.items():
        result = share_trace.run(queue, SEED)
        reached = ''.join(f'{result.reached[name]:8.3f}' for name in names)
        print(
            f'{policy:10}{reached}{result.others_refused:9.3f}'
            f'{result.others_wait_p95_s:8.2f} s{result.used:7.3f}'
        )
    print('refused and wait are those of the other four workspaces')


def print_times() -> None:
    """Print CPU times by size, and how evenly subsets cover engines."""
    print('time of a decision, us')
    print(f'{"engines":>8}{"routing":>10}{"subset":>10}')
    for engines in decision_time.FLEETS:
        print(
            f'{engines:8}{decision_time.routing_us(engines):10.1f}'
            f'{decision_time.subset_us(engines):10.1f}'
        )
    subset_us = decision_time.routing_us(50)
    met = 'met' if subset_us < DECISION_LIMIT_US else 'missed'
    print(f'routing over a subset of 50: {subset_us:.1f} us, ', end='')
    print(f'limit {DECISION_LIMIT_US:.0f} us: {met}')
    print(f'queue, one offer and start: {decision_time.queue_us():.1f} us')
    for by_endpoints in (False, True):
        users, sizes = decision_time.coverage(
            DOMAIN_ROUTERS, DOMAIN_ENGINES, by_endpoints
        )
        label = 'by endpoint' if by_endpoints else 'by router'
        print(
            f'subsets {label}: {users[0]} to {users[-1]} routers an engine, '
            f'{sizes[0]} to {sizes[-1]} engines a router'
        )


def main() -> None:
    """Print all the tables."""
    print_placement()
    print_shares()
    print_times()


if __name__ == '__main__':
    main()
