"""Tests by kind: cover (fast, focused) and nocover (processes)."""
