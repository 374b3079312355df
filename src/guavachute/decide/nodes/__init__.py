"""Decisions that the entry nodes' news of each other lead to."""
