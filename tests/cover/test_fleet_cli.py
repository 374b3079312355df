"""Tests of ``guavachute plan`` and ``explain`` with a log and a cloud."""

import contextlib
import io
import pathlib
import tempfile
import typing
import unittest

import msgspec

from guavachute.cli import explain
from guavachute.cli import plan
from guavachute.decide.fleet import purchases
from guavachute import ids
from guavachute.standin import log_service
from guavachute.wire import records
from tests.support import fleet


def output_of(command: typing.Callable[[], int]) -> str:
    with contextlib.redirect_stdout(io.StringIO()) as text:
        command()
    return text.getvalue()


class FleetCliTest(unittest.TestCase):
    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.cloud = stack.enter_context(fleet.cloud_running())
        self.log = log_service.LogService()
        self.log.start()
        stack.callback(self.log.join, 10)
        stack.callback(self.log.request_stop)
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        self.settings = pathlib.Path(directory, 'settings.json')
        self.settings.write_bytes(
            msgspec.json.encode(
                {
                    'log_address': self.log.address,
                    'cloud_address': self.cloud.address,
                }
            )
        )

    def append(self, record: msgspec.Struct) -> None:
        self.log.append(records.CONTROL_STREAM, [msgspec.to_builtins(record)])

    def publish(self) -> None:
        self.append(
            records.ConfigurationChange(
                record_id=ids.RecordId('change'),
                environment=fleet.ENVIRONMENT,
                supersedes_offset=records.NO_OFFSET,
                document=fleet.DOCUMENT,
                digest=ids.Digest(''),
                author='test',
            )
        )

    def test_plan_shows_and_orders_nothing(self) -> None:
        self.publish()
        command = plan.PlanCommand(
            'trial', load=['needle=7000'], settings=self.settings
        )
        text = output_of(command)
        self.assertIn('reclaimable a10x8 in perth-a: 0 -> 3 (+3)', text)
        self.assertIn('survives loss of any failure domain', text)
        self.assertEqual([], self.cloud.charges())
        command.json = True
        shown = msgspec.json.decode(output_of(command))
        self.assertEqual(8, len(shown['starts']))

    def test_plan_says_what_is_wrong(self) -> None:
        for command, expected in (
            (plan.PlanCommand('trial', settings=self.settings), 1),
            (
                plan.PlanCommand(
                    'trial', load=['other=1'], settings=self.settings
                ),
                2,
            ),
        ):
            with contextlib.redirect_stderr(io.StringIO()) as text:
                with self.assertRaises(SystemExit) as ended:
                    command()
            self.assertEqual(expected, ended.exception.code)
            self.assertEqual(1, text.getvalue().count('\n'))
            self.publish()

    def test_explain_names_the_reason_of_each_vm(self) -> None:
        name = purchases.new_name(
            fleet.ENVIRONMENT, ids.PoolName('needle'), 'x'
        )
        self.append(
            records.LeaseRecord(
                record_id=ids.RecordId('lease'),
                name='fleet',
                holder='node-1',
                supersedes_offset=records.NO_OFFSET,
                duration_s=10,
            )
        )
        self.append(
            records.PurchaseIntent(
                record_id=ids.RecordId('intent'),
                vm_name=name,
                lease_name='fleet',
                term_offset=ids.Offset(0),
                pool=ids.PoolName('needle'),
                failure_domain=ids.FailureDomain('perth-a'),
                machine_class='a10x8',
                market='reclaimable',
                why='0 of 3 held there',
            )
        )
        text = output_of(explain.ExplainCommand('trial', self.settings))
        self.assertEqual(
            f'- {name}: ordered; reclaimable a10x8 in perth-a; '
            '0 of 3 held there\n',
            text,
        )
