"""Text as the value of an HTTP header (RFC 9110, section 5.5).

Values are UTF-8, whose bytes beyond ASCII are allowed in a header: two
different names never get the same bytes, as they would if some names were
Latin-1. Text that a recipient would read as something else has no encoding.
"""

import re

_UNFIT = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]|^[ \t]|[ \t]$')
"""Control characters, and spaces at the ends, which recipients strip."""


def encode(text: str) -> bytes | None:
    """The header value for *text*; None if no header can hold it."""
    if _UNFIT.search(text):
        return None
    try:
        return text.encode()
    except UnicodeEncodeError:
        # A lone surrogate.
        return None
