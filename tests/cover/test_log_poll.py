"""Long polls outlast the connect timeout, and clients can be cancelled."""

import random
import threading
import unittest
import unittest.mock

from guavachute.clients import log_client
from guavachute import ids
from guavachute.observe import counters
from guavachute.standin import log_service
from tests.support import hosting


class LogPollTest(unittest.TestCase):
    def test_a_poll_outlasts_the_limit_of_connecting(self) -> None:
        log = hosting.host(self, log_service.LogService())
        client = log_client.LogClient(
            log.address, counters.Counters(), random.Random(1)
        )
        self.addCleanup(client.close)
        with unittest.mock.patch.object(log_client, 'CONNECT_TIMEOUT_S', 0.1):
            page = client.read('quiet', ids.Offset(0), wait_s=0.5)
        self.assertIsInstance(page, log_client.Page)

    def test_a_cancelled_connection_is_not_closed_under_the_call(
        self,
    ) -> None:
        """Otherwise cancel() may shut down a file that reuses the descriptor.

        cancel() runs in another thread than close(). If close() ran
        between the look-up of the socket and its shutdown, the descriptor
        could belong to another connection by then.
        """
        client = log_client.LogClient(
            '127.0.0.1:1', counters.Counters(), random.Random(1)
        )
        closed_meanwhile = []
        closer = threading.Thread(target=client.close)
        opened = unittest.mock.Mock()

        def shutdown(how: int) -> None:
            closer.start()
            closer.join(0.2)
            closed_meanwhile.append(opened.close.called)

        opened.shutdown = shutdown
        client._connection.sock = opened
        client.cancel()
        closer.join()
        self.assertEqual([False], closed_meanwhile)
        opened.close.assert_called_once()
