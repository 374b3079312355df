"""Tests of the stand-in log, VM list and order service, and of faults."""

import concurrent.futures
import unittest

from guavachute.standin import faults
from guavachute.standin import log_service
from guavachute.standin import order_service
from guavachute.standin import vm_list
from tests.support import hosting
from tests.support import http_calls
from tests.support import waiting

CONTROL = '/v1/streams/control/records'


class FaultsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.orders = hosting.host(self, order_service.OrderService())

    def order(self, body: str = 'tea') -> http_calls.Answer:
        return http_calls.call(self.orders.address, 'POST', '/jobs', body)

    def add_fault(self, kind: faults.Kind, **more: object) -> None:
        fault = {'kind': kind.value, **more}
        answer = http_calls.call(
            self.orders.address, 'POST', '/faults', {'faults': [fault]}
        )
        self.assertEqual(200, answer.status)

    def test_a_lost_answer_comes_after_the_act(self) -> None:
        self.add_fault(faults.Kind.LOSE_ANSWER)
        self.assertEqual(http_calls.NO_ANSWER, self.order())
        self.assertEqual(1, len(self.orders.ledger()))
        self.assertEqual(201, self.order().status)

    def test_close_and_refuse_act_on_nothing(self) -> None:
        self.add_fault(faults.Kind.CLOSE, method='POST', path_prefix='/jobs')
        self.add_fault(faults.Kind.REFUSE, method='POST', path_prefix='/jobs')
        self.assertEqual(http_calls.NO_ANSWER, self.order())
        self.assertEqual(503, self.order().status)
        self.assertEqual([], self.orders.ledger())

    def test_double_acts_twice(self) -> None:
        self.add_fault(faults.Kind.DOUBLE)
        self.order()
        self.assertEqual(2, len(self.orders.ledger()))

    def test_a_fault_strikes_only_what_it_matches_until_cleared(self) -> None:
        self.add_fault(faults.Kind.REFUSE, count=-1, match='bad')
        statuses = [self.order(body).status for body in ('ok', 'bad', 'bad')]
        http_calls.call(self.orders.address, 'DELETE', '/faults')
        statuses.append(self.order('bad').status)
        self.assertEqual([201, 503, 503, 201], statuses)

    def test_a_crash_ends_the_service(self) -> None:
        self.add_fault(faults.Kind.CRASH)
        self.assertEqual(http_calls.NO_ANSWER, self.order())
        self.assertTrue(self.orders.join(hosting.STOP_TIMEOUT_S))
        self.assertEqual(http_calls.NO_ANSWER, self.order())

    def test_an_unknown_kind_is_refused(self) -> None:
        body = {'faults': [{'kind': 'explode'}]}
        answer = http_calls.call(self.orders.address, 'POST', '/faults', body)
        self.assertEqual(400, answer.status)
        self.assertIn('kind', answer.json()['error'])


class LogServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = hosting.host(
            self, log_service.LogService(retained_records=3)
        )

    def read(self, query: str) -> http_calls.Answer:
        return http_calls.call(self.log.address, 'GET', f'{CONTROL}?{query}')

    def test_records_keep_order_and_offsets(self) -> None:
        first = http_calls.call(
            self.log.address, 'POST', CONTROL, {'records': ['a', {'b': 1}]}
        )
        self.assertEqual({'first_offset': 0, 'next_offset': 2}, first.json())
        page = self.read('from=1').json()
        expected = [{'offset': 1, 'record': {'b': 1}}]
        self.assertEqual(expected, page['records'])
        self.assertEqual(['a', {'b': 1}], self.log.records('control'))

    def test_a_read_reports_the_first_retained_offset(self) -> None:
        self.log.append('control', list(range(5)))
        edge = self.read('from=2&limit=1')
        self.assertEqual(200, edge.status)
        self.assertEqual(2, edge.json()['records'][0]['offset'])
        past = self.read('from=1')
        self.assertEqual(410, past.status)
        expected = {
            'first_retained_offset': 2,
            'next_offset': 5,
            'records': [],
        }
        self.assertEqual(expected, past.json())

    def test_a_long_poll_gets_what_is_appended_later(self) -> None:
        with concurrent.futures.ThreadPoolExecutor() as pool:
            poll = pool.submit(self.read, 'from=0&wait_s=20')
            waiting.until(lambda: self.log.polls, 'the poll to arrive')
            self.log.append('control', ['late'])
            page = poll.result().json()
        self.assertEqual('late', page['records'][0]['record'])

    def test_an_outage_is_answered_503(self) -> None:
        self.log.set_down(True)
        self.assertEqual(503, self.read('from=0').status)
        self.log.set_down(False)
        self.assertEqual(200, self.read('from=0').status)


class VmListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.vms = hosting.host(self, vm_list.VmList())
        self.vm = vm_list.Vm(
            vm='vm-1',
            address='127.0.0.1:1',
            failure_domain='perth-a',
            region='perth',
            pool='needle',
            kind='endpoint',
        )

    def list(self) -> list[dict[str, object]]:
        answer = http_calls.call(self.vms.address, 'GET', '/v1/vms')
        return answer.json()['vms']

    def test_a_notice_is_listed_until_the_vm_goes(self) -> None:
        self.vms.set_vms([self.vm])
        self.assertNotIn('leave_in_s', self.list()[0])
        self.vms.leave('vm-1', 30)
        listed = self.list()[0]
        self.assertEqual('leaving', listed['state'])
        self.assertTrue(0 < listed['leave_in_s'] <= 30)
        self.vms.remove('vm-1')
        self.assertEqual([], self.list())

    def test_the_list_lags(self) -> None:
        lagging = hosting.host(self, vm_list.VmList(lag_s=3600))
        lagging.set_vms([self.vm])
        self.assertEqual([], lagging.listing().vms)
