"""Decisions of an entry node about the other entry nodes and the store."""
