"""Sends orders to the cloud, one at a time and only under the lease.

Several workers run in parallel, so that an order that stalls at the
cloud doesn't delay the others. The task that assigns the orders limits
how many are in flight.
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
    """The task that sends :class:`messages.StartVm` and ``EndVm``.

    :param held_now: called right before each order, which is sent only
        if the lease is held or if it starts a VM from an allowance
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
        """Send orders and reply with their results until stopped."""
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
        # An earlier order with this name, also of another process, may
        # have taken effect even if its answer was a failure.
        listed = self._client.vms(order.name)
        if isinstance(listed, outcome.Failure):
            self._count.add('fleet.list_failed')
            # Replaces the reason, which may be LOST_ANSWER: this attempt
            # has ordered nothing.
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
            _log.notice('ended VM {} ({})', order.vm, order.name)
        else:
            self._count.add('fleet.end_failed')
        return failure


def _not_held() -> outcome.Failure:
    return outcome.Failure(
        outcome.Reason.SUPERSEDED, 'the lease is no longer held'
    )
