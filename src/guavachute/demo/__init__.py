"""The demonstration: a small fleet in one process, and a tour of it."""
