"""The relay: one task that moves the bytes of all streams of a router."""
