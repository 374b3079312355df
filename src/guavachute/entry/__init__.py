"""The process on an entry VM: one loop for callers, endpoints and peers."""
