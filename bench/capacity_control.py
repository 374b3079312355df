"""Cost of the log's records, the tables, order claims and the planner.

Calls the functions that the programs run and measures their CPU time,
the size of encoded messages and the memory of claims.
"""

import gc
import random
import statistics
import time
import tracemalloc
import typing

import msgspec

from bench import capacity_fit
from bench import capacity_node
from bench import fleet
from guavachute.clients import vm_list
from guavachute.decide.control import control_log
from guavachute.decide.control import control_reader
from guavachute.decide.fleet import fleet_plan
from guavachute.decide.orders import order_claims
from guavachute.decide.orders import order_commit
from guavachute.document import schema
from guavachute import ids
from guavachute.wire import codec
from guavachute.wire import log_relay
from guavachute.wire import order_records
from guavachute.wire import records
from guavachute.wire import tables

ENGINES = (13, 280, 1400, 2800)
OWNED_PURCHASES = (0, 700, 1400, 2800)
WORKSPACES = (10, 100, 400)
RECORDS = 400
REPEATS = 9
KEYS = (5_000, 10_000, 20_000)
BATCHES = (10, 50, 100, 500)


def _median_ms(work: typing.Callable[[], object]) -> float:
    work()
    durations_s = []
    for _ in range(REPEATS):
        gc.collect()
        start_s = time.process_time()
        work()
        durations_s.append(time.process_time() - start_s)
    return statistics.median(durations_s) * 1000


def measure_tables() -> capacity_fit.Measurements:
    """Measure tables and the VM list against the number of engines."""
    sizes, encode, decode, listing = [], [], [], []
    for engines in ENGINES:
        view = _tables(engines)
        raw = codec.encode(view)
        sizes.append((engines, len(raw)))
        encode.append((engines, _median_ms(lambda v=view: codec.encode(v))))
        decode.append(
            (
                engines,
                _median_ms(lambda r=raw: codec.Decoder(tables.Tables).feed(r)),
            )
        )
        answer = msgspec.json.encode(_vm_list_of(engines))
        listing.append(
            (
                engines,
                _median_ms(
                    lambda a=answer: msgspec.json.decode(
                        a, type=vm_list.VmList
                    )
                ),
            )
        )
    text = 'engines'
    return capacity_fit.Measurements(
        slopes={
            'tables_bytes': capacity_fit.fit(
                text, 'bytes of the tables of a router', sizes
            ),
            'tables_encode_ms': capacity_fit.fit(
                text, 'ms to encode the tables', encode
            ),
            'tables_decode_ms': capacity_fit.fit(
                text, 'ms to decode the tables', decode
            ),
            'vm_list_decode_ms': capacity_fit.fit(
                text, 'ms to decode the VM list', listing
            ),
        }
    )


def _tables(engines: int) -> tables.Tables:
    return tables.Tables(
        environment='bench',
        offset=7,
        digest='0' * 64,
        document=capacity_node.document(0),
        endpoints=[
            tables.EndpointEntry(
                endpoint=vm.vm,
                address=vm.address,
                failure_domain=vm.failure_domain,
                region=vm.region,
                pool=vm.pool,
            )
            for vm in _vm_list_of(engines).vms
        ],
        routers=[],
    )


def _vm_list_of(engines: int) -> vm_list.VmList:
    return vm_list.VmList(
        [
            vm_list.Vm(
                vm=f'vm-{number:05}',
                address=f'203.0.113.{number % 250}:8000',
                failure_domain=f'perth-{number % 8}',
                region='perth',
                pool='needle',
                kind=vm_list.VmKind.ENDPOINT,
                machine_class='a10x8',
            )
            for number in range(engines)
        ]
    )


def measure_log() -> capacity_fit.Measurements:
    """Measure the folding of records and the size of log records.

    Folding and snapshots are measured against the number of purchases in
    the state, configuration changes against the number of workspaces.
    """
    folds, snapshots, changes = [], [], []
    for owned in OWNED_PURCHASES:
        state = _control_state(owned)
        entries = _purchase_entries(state)
        folds.append(
            (
                owned,
                _median_ms(lambda s=state, e=entries: _fold(s, e)) / RECORDS,
            )
        )
        snapshot = records.Snapshot(
            record_id=ids.RecordId('snapshot'), state=state
        )
        snapshots.append((owned, len(msgspec.json.encode(snapshot))))
    for workspaces in WORKSPACES:
        raw = msgspec.json.encode(_change(workspaces))
        changes.append((workspaces, len(raw)))
    alive = log_relay.RelayAlive(ids.Offset(1_000_000), 0.123456789)
    return capacity_fit.Measurements(
        slopes={
            'fold_ms': capacity_fit.fit(
                'purchases owned', 'ms to fold one record', folds
            ),
            'snapshot_bytes': capacity_fit.fit(
                'purchases owned', 'bytes of a snapshot', snapshots
            ),
            'change_bytes': capacity_fit.fit(
                'workspaces in the document',
                'bytes of a configuration change',
                changes,
            ),
        },
        values={
            'relay_alive_bytes': capacity_fit.Value(
                value=len(codec.encode(alive)),
                unit='bytes',
                how='one sign of life of a relay to one follower',
            )
        },
    )


def _change(workspaces: int) -> records.ConfigurationChange:
    return records.ConfigurationChange(
        record_id=ids.RecordId('change-0123456789abcdef'),
        environment=ids.EnvironmentName('bench'),
        supersedes_offset=records.NO_OFFSET,
        document=capacity_node.document(0, workspaces),
        digest=ids.Digest('0' * 64),
        author='bench',
    )


def _lease() -> records.LeaseRecord:
    return records.LeaseRecord(
        record_id=ids.RecordId('lease'),
        name='fleet/bench',
        holder='node-0',
        supersedes_offset=records.NO_OFFSET,
        duration_s=15.0,
    )


def _intent(name: str) -> records.PurchaseIntent:
    return records.PurchaseIntent(
        record_id=ids.RecordId(f'intent-{name}'),
        vm_name=name,
        lease_name='fleet/bench',
        term_offset=ids.Offset(0),
        pool=ids.PoolName('needle'),
        failure_domain=ids.FailureDomain('perth-a'),
        machine_class='a10x8',
        market='reclaimable',
        why='the pool is short of one endpoint',
    )


def _started(name: str) -> records.PurchaseResult:
    return records.PurchaseResult(
        record_id=ids.RecordId(f'result-{name}'),
        vm_name=name,
        result='started',
        vm=ids.VmId(f'vm-{name}'),
    )


def _control_state(owned: int) -> records.ControlState:
    state, _ = control_log.fold(
        records.ControlState(), ids.Offset(0), _lease()
    )
    held = {
        f'old-{number}': records.OwnedPurchase(
            intent=_intent(f'old-{number}'), vm=ids.VmId(f'vm-{number}')
        )
        for number in range(owned)
    }
    return msgspec.structs.replace(state, owned_purchases=held)


def _purchase_entries(state: records.ControlState) -> list[records.Entry]:
    written: list[records.Record] = []
    for number in range(RECORDS // 2):
        written += [_intent(f'new-{number}'), _started(f'new-{number}')]
    return [
        records.Entry(
            ids.Offset(state.through_offset + 1 + place),
            msgspec.json.decode(msgspec.json.encode(record)),
        )
        for place, record in enumerate(written)
    ]


def _fold(state: records.ControlState, entries: list[records.Entry]) -> None:
    folded = control_reader.ControlReader(state).fold_entries(entries)
    assert isinstance(folded, tuple)
    rejected = [
        each
        for each in folded
        if each.verdict is not control_log.Verdict.ACCEPTED
    ]
    assert not rejected, rejected[:1]


def measure_orders() -> capacity_fit.Measurements:
    """Measure the CPU time and bytes of a claim and the memory of a key."""
    batches = [(size, _commit_ms(size)) for size in BATCHES]
    memory = [(keys, _memory_mib(keys)) for keys in KEYS]
    one = _claims(1)[0]
    record = order_records.OrderClaim(
        key_digest=one.key_digest,
        attempt_id=one.attempt_id,
        body_digest=one.body_digest,
        claimed_unix_s=1.7e9,
    )
    return capacity_fit.Measurements(
        slopes={
            'claims_append_ms': capacity_fit.fit(
                'claims in an append',
                'ms to batch, read back, fold and decide',
                batches,
            ),
            'claims_memory_mib': capacity_fit.fit(
                'keys remembered', 'MiB of the fold', memory
            ),
        },
        values={
            'claim_bytes': capacity_fit.Value(
                value=len(msgspec.json.encode(record)),
                unit='bytes',
                how='one claim in the log',
            )
        },
    )


def _claims(count: int, seed: int = 1) -> list[order_commit.Claim]:
    source = random.Random(seed)
    return [
        order_commit.Claim(
            f'{source.getrandbits(128):032x}',
            f'{source.getrandbits(128):032x}',
            ids.AttemptId(f'attempt-{source.getrandbits(64):016x}'),
            1e9,
        )
        for _ in range(count)
    ]


def _commit_ms(size: int) -> float:
    submitted = _claims(size)

    def work() -> None:
        claims = order_claims.Claims(86_400.0)
        committer = order_commit.Committer(claims)
        committer.is_ready = True
        for claim in submitted:
            committer.submit(claim)
        raw = msgspec.json.encode(committer.next_batch(0.0, 1.7e9))
        committer.append_done(order_commit.AppendResult.ACCEPTED)
        for offset, value in enumerate(msgspec.json.decode(raw)):
            record = order_records.parse(value)
            assert isinstance(record, order_records.OrderClaim)
            claims.fold(offset, record, 1.7e9)
        assert len(committer.decide()) == size

    return _median_ms(work)


def _memory_mib(keys: int) -> float:
    submitted = _claims(keys)
    raws = [
        msgspec.json.encode(
            order_records.OrderClaim(
                key_digest=claim.key_digest,
                attempt_id=claim.attempt_id,
                body_digest=claim.body_digest,
                claimed_unix_s=1.7e9,
            )
        )
        for claim in submitted
    ]
    tracemalloc.start()
    claims = order_claims.Claims(86_400.0)
    for offset, raw in enumerate(raws):
        record = msgspec.json.decode(raw, type=order_records.OrderClaim)
        claims.fold(offset, record, 1.7e9)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(claims) == keys
    return used_bytes / 2**20


def measure_planner() -> capacity_fit.Measurements:
    """Measure one plan after the loss of a domain, by number of engines."""
    offers = fleet.large_market()
    policy = schema.Policy()
    durations_ms = []
    for engines in (13, 280, 2800):
        view = fleet.large_pool(engines, lost_domain=0)
        durations_ms.append(
            (
                engines,
                _median_ms(
                    lambda v=view: fleet_plan.plan(
                        [v], offers, policy, 64, 1.0
                    )
                ),
            )
        )
    return capacity_fit.Measurements(
        slopes={
            'planner_ms': capacity_fit.fit(
                'engines',
                'ms of one plan, a failure domain lost',
                durations_ms,
            )
        }
    )
