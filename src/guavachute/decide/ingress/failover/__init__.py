"""Decides when a request goes on at another endpoint."""
