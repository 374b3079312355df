"""Benchmarks; each runnable module prints its own table."""
