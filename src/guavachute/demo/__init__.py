"""The demonstration: a small fleet in one process, and requests to it."""
