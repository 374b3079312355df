"""Estimates what a request costs a router in memory.

The JSON of a model request is parsed into Python objects, which may take 20
times its bytes, and its texts are copied: the prompt is kept, and the request
is encoded again for the engine.
"""

import re

TOKEN_BYTES = 120
"""Upper bound of what a JSON token costs as an object and in its container."""

TEXT_COPIES = 4
"""The body, the prompt, the encoded request and its unsent part."""

WIDE_TEXT_COPIES = 7
"""The same where a character of a text may take four bytes."""

PLAIN_COPIES = 3
"""The body, the encoded request and its unsent part."""

_MODEL_CALLS = (b'POST /v1/chat/completions', b'POST /v1/completions')
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[{,]', re.DOTALL)


def request_cost(data: bytearray, limit_bytes: int) -> int:
    """What the request *data* costs while it is served, in bytes.

    Counting stops beyond *limit_bytes*, and the result is then larger.
    """
    size = len(data)
    if not data.startswith(_MODEL_CALLS):
        return PLAIN_COPIES * size
    is_wide = not data.isascii() or b'\\u' in data
    text_bytes = size * (WIDE_TEXT_COPIES if is_wide else TEXT_COPIES)
    at_most = data.count(b'"') // 2 + sum(
        data.count(mark) for mark in (b',', b'[', b'{')
    )
    if text_bytes + TOKEN_BYTES * at_most <= limit_bytes // 8:
        return text_bytes + TOKEN_BYTES * at_most
    # Marks inside of texts cost nothing.
    tokens, most = 0, max(0, limit_bytes - text_bytes) // TOKEN_BYTES
    for _ in _TOKEN.finditer(data):
        tokens += 1
        if tokens > most:
            break
    return text_bytes + TOKEN_BYTES * tokens
