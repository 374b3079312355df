"""Membership of entry nodes, and the router addresses given to callers."""
