"""A stand-in for the cloud's API: usage reports and desired capacity."""

import dataclasses
import typing

import msgspec

from guavachute.entry import loop as entry_loop
from guavachute.standin.platform import server


@dataclasses.dataclass(frozen=True, slots=True)
class CloudCall:
    """A call that the cloud accepted.

    :ivar holder: the ``Duty-Holder`` header, which names the caller
    :ivar fence: the fencing token, -1 if the call had none
    :ivar body: the decoded JSON body
    """

    target: str
    holder: str
    fence: int
    body: typing.Any


class Cloud:
    """Accepts calls unless a higher fencing token was seen.

    Tokens are compared for each target and, for the desired capacity, each
    service and zone.

    :ivar calls: the accepted calls, oldest first
    :ivar refused: the number of calls rejected with 409
    :ivar drops_answers: whether accepted calls get no response; their
        connections are closed
    """

    def __init__(self, loop: entry_loop.Loop) -> None:
        self._server = server.Server(loop, self._serve)
        self._highest_fence: dict[str, int] = {}
        self.address = self._server.address
        self.calls: list[CloudCall] = []
        self.refused = 0
        self.drops_answers = False

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()

    def usage(self) -> list[tuple[int, dict[str, int]]]:
        """Return the window id and counts of each report, oldest first."""
        return [
            (item.body['windowId'], item.body['counts'])
            for item in self.calls
            if item.target == '/usage'
        ]

    def _serve(self, answer: server.Answer) -> None:
        target = answer.request.target.decode()
        fence = int(answer.header(b'Fencing-Token') or b'-1')
        body = msgspec.json.decode(answer.request.body)
        subject = target
        if target == '/desired-capacity':
            subject += f'/{body["service"]}/{body["zone"]}'
        if fence < self._highest_fence.get(subject, -1):
            self.refused += 1
            answer.reply(409)
            return
        self._highest_fence[subject] = fence
        holder = (answer.header(b'Duty-Holder') or b'').decode()
        self.calls.append(CloudCall(target, holder, fence, body))
        if self.drops_answers:
            answer.abort()
        else:
            answer.reply(200)
