"""Decisions about orders: requests that must run at most once.

Idempotency keys, the claims on them in the log, and their snapshots.
"""
