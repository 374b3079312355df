"""The target size of the site, and the limits that hold at this size.

Names without a unit are counts; ``NODE_`` marks figures of one node.
"""

NODES = 660
ENGINES = 2_800
ACCELERATORS = 22_000
REQUESTS_PER_S = 15_000
TOKENS_PER_S = 3_900_000
TOKEN_GAP_S = 0.051
CHANGES_PER_DAY = 6_000
REPLACEMENTS_PER_DAY = 920
RECLAIMED_SHARE = 0.62
REGIONS = 2
DOMAINS = 8

NODE_CORE_PERCENT = 1.2
NODE_MIB = 64e6 / 2**20
NODE_BYTES_PER_S = 8_000
APPENDS_PER_S = 300
"""Limit of the log's appends per second; the requirement says several
hundred."""
IN_FORCE_S = 4.0

DAY_S = 86_400
HOUR_S = 3_600

MEMBERS = -(-NODES // DOMAINS)
NODE_REQUESTS_PER_S = REQUESTS_PER_S / NODES
NODE_TOKENS_PER_S = TOKENS_PER_S / NODES
NODE_STREAMS = NODE_TOKENS_PER_S * TOKEN_GAP_S
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S

WORKSPACES = 100
"""An assumption: the requirements give no number of workspaces."""
RECORDS_PER_REPLACEMENT = 4
"""The records intent, result, drain and end."""
CHANGES_PER_HOUR = CHANGES_PER_DAY / 24
