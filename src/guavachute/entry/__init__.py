"""The entry process: one loop serves callers, endpoints and peers."""
