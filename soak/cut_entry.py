"""Runs the entry program with links to endpoints that the soak can cut.

A file names what the node meets on these links: the name of a mode of
:mod:`tests.support.cut_links`. It is read again all the time.
"""

import signal

if __name__ == '__main__':
    # As deploy/entry.py does, before anything takes time. The soak itself must
    # not ignore it, as its processes would inherit that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os  # noqa: E402
import pathlib  # noqa: E402
import runpy  # noqa: E402
import sys  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent
if __name__ == '__main__':
    sys.path[:0] = [str(ROOT), str(ROOT / 'src')]

from guavachute.entry import loop as entry_loop  # noqa: E402
from guavachute.entry import transport  # noqa: E402
from guavachute import ids  # noqa: E402
from tests.support import cut_links  # noqa: E402

MODE_VARIABLE = 'SOAK_LINKS_FILE'
HOST_VARIABLE = 'SOAK_ENDPOINTS_HOST'
POLL_S = 0.02


class FileLinks(cut_links.CutLinks):
    """The links of the one node of this process, by a file."""

    def __init__(self, file: pathlib.Path, endpoints_host: str) -> None:
        super().__init__(
            lambda address: address.startswith(f'{endpoints_host}:')
        )
        self._file = file
        self._mode = cut_links.Mode.OPEN
        self._loop: entry_loop.Loop | None = None

    def connect(
        self,
        loop: entry_loop.Loop,
        address: ids.Address,
        unread_bytes: int | None = None,
    ) -> transport.Connection | None:
        """Connect; the first call starts to read the file."""
        if self._loop is None:
            self._loop = loop
            self.adopt(loop)
            self._poll()
        return super().connect(loop, address, unread_bytes)

    def _poll(self) -> None:
        assert self._loop is not None
        mode = cut_links.Mode(self._file.read_text())
        if mode is not self._mode:
            self._mode = mode
            self.cut(self._loop, mode)
        self._loop.call_after(POLL_S, self._poll)


def install() -> None:
    """Let the links of this process be cut from now on."""
    links = FileLinks(
        pathlib.Path(os.environ[MODE_VARIABLE]), os.environ[HOST_VARIABLE]
    )
    setattr(transport, 'connect', links.connect)


if __name__ == '__main__':
    install()
    runpy.run_path(str(ROOT / 'deploy' / 'entry.py'), run_name='__main__')
