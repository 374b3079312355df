"""Numeric addresses, ``IP:PORT``, as patterns for decoders."""

import re

_OCTET = r'(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_PORT = (
    r'(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    r'|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)
_IP = rf'{_OCTET}(\.{_OCTET}){{3}}'

CONNECTABLE = rf'^{_IP}:{_PORT}$'
"""An address that a connection can be opened to."""

CONNECTABLE_OR_EMPTY = rf'^({_IP}:{_PORT})?$'

LISTENABLE = rf'^{_IP}:({_PORT}|0)$'
"""An address to listen on; port 0 lets the operating system choose."""

_connectable = re.compile(CONNECTABLE)


def is_connectable(text: str) -> bool:
    """Whether a connection can be opened to *text*."""
    return _connectable.fullmatch(text) is not None
