"""Sends orders to the cloud, one at a time, each under the lease.

Several workers run side by side, so that an order which the cloud stalls
holds up no other; how many orders are under way is decided by the task
that hands them out.
"""

from guavachute.clients import cloud_client
from guavachute.decide.fleet import purchases
from guavachute.kernel import task
from guavachute.observe import counters
from guavachute.observe import logs
from guavachute import outcome
from guavachute.services.fleet import messages

_log = logs.logger('fleet')


class CloudWorker(task.Task):
    """Carries out :class:`messages.StartVm` and ``EndVm``.

    :param held_now: asked right before each order is sent
    """

    def __init__(
        self,
        name: str,
        client: cloud_client.CloudClient,
        held_now: messages.HeldNow,
        count: counters.Counters,
    ) -> None:
        super().__init__(name)
        self._client = client
        self._held_now = held_now
        self._count = count

    def run(self) -> None:
        """Work until stopped."""
        while not self.stopping.is_set():
            order = self.mailbox.receive()
            if isinstance(order, messages.StartVm):
                result = self._start(order)
                order.reply.send(messages.StartDone(order, result))
            elif isinstance(order, messages.EndVm):
                failure = self._end(order)
                order.reply.send(messages.EndDone(order, failure))
        self._client.close()

    def _start(
        self, order: messages.StartVm
    ) -> purchases.ListedVm | outcome.Failure:
        # An earlier order of this name may have taken effect, also one
        # of another process, whatever was answered.
        listed = self._client.vms(order.name)
        if isinstance(listed, outcome.Failure):
            self._count.add('fleet.list_failed')
            # Nothing was ordered by this attempt.
            return outcome.Failure(
                outcome.Reason.UNAVAILABLE,
                listed.detail,
                listed.retry_after_s,
            )
        if listed:
            self._count.add('fleet.found_by_name')
            return min(listed, key=lambda vm: vm.vm)
        if not order.from_allowance and self._held_now() is None:
            return _not_held()
        self._count.add('fleet.start_orders')
        result = self._client.start(order.name, order.pool, order.offer)
        if isinstance(result, outcome.Failure):
            self._count.add(f'fleet.start_{result.reason.value}')
        return result

    def _end(self, order: messages.EndVm) -> outcome.Failure | None:
        if self._held_now() is None:
            return _not_held()
        failure = self._client.end(order.vm)
        if failure is None:
            self._count.add('fleet.ended')
            _log.notice('ended {} ({})', order.vm, order.name)
        else:
            self._count.add('fleet.end_failed')
        return failure


def _not_held() -> outcome.Failure:
    return outcome.Failure(
        outcome.Reason.SUPERSEDED, 'the lease is not held any more'
    )
