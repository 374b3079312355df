"""Carries out the bounds on what callers make the process hold."""
